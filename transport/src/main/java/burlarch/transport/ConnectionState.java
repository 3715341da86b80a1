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
 * <p>A dash is a transition that must not be asked for: a second Hello is a {@link FrameException}, and after CLOSED
 * nothing is read. The states before HANDSHAKING, where there is no connection yet, are those of
 * {@link OutboundConnector}.
 */
enum ConnectionState {
    /** The channel is connected; the own Hello is on its way and that of the peer is awaited. */
    HANDSHAKING,
    /** Both sides have said Hello: messages go both ways. */
    CONNECTED,
    /** Final: nothing is received, and what is sent is dropped. */
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
