package burlarch.transport;

/**
 * Bytes from a peer that are not a valid next message.
 *
 * <p><b>Causes:</b> a frame that is empty or too long, a message type of unknown number, a body that is not the CBOR of
 * its type, a message before Hello, a second Hello, or a number that went back ({@link MessageOrderValidator}).
 *
 * <p><b>What the caller may do:</b> close the connection, as the rest of its stream cannot be trusted; a new connection
 * starts afresh. Reading the same bytes again gives the same error.
 */
public final class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    FrameException(String message) {
        super(message);
    }

    FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
