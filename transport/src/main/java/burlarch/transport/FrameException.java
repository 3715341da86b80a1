package burlarch.transport;

/**
 * Thrown if bytes received from a peer are not a valid message at this point of the connection.
 *
 * <p><b>Causes:</b> a frame that is empty or too long, an unknown message type, a body that is not valid CBOR of its
 * type, a message before Hello, a second Hello, or a version, revision or proposal number that decreased
 * ({@link MessageOrderValidator}).
 *
 * <p><b>Handling:</b> close the connection, as the rest of its stream cannot be trusted; a new connection starts with
 * a new stream. Reading the same bytes again gives the same error.
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
