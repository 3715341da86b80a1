package burlarch.transport;

/**
 * The state of one TCP connection between nodes. {@link #after} is the only transition function:
 *
 * <pre>
 *   state         Hello received   closed
 *   HANDSHAKING   CONNECTED        CLOSED
 *   CONNECTED     -                CLOSED
 *   CLOSED        -                -
 * </pre>
 *
 * <p>A dash marks an invalid transition: a second Hello causes a {@link FrameException}, and nothing is read after
 * CLOSED. The states before a connection exists are those of {@link OutboundConnector}.
 */
enum ConnectionState {
    /** The channel is connected; this node's Hello is queued or sent, and the peer's Hello is awaited. */
    HANDSHAKING,
    /** The peer's Hello was received: messages are exchanged in both directions. */
    CONNECTED,
    /** Final state: nothing is received, and messages to send are dropped. */
    CLOSED;

    enum Event {
        HELLO_RECEIVED,
        CLOSED
    }

    ConnectionState after(Event event) {
        if (this == CLOSED || (event == Event.HELLO_RECEIVED && this != HANDSHAKING)) {
            throw new IllegalStateException(event + " in state " + this);
        }
        return event == Event.HELLO_RECEIVED ? CONNECTED : CLOSED;
    }
}
