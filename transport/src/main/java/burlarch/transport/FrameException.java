package burlarch.transport;

/** Bytes that are no frame of this protocol: too long, of an unknown number, or garbled. */
public final class FrameException extends Exception {
    private static final long serialVersionUID = 1L;

    FrameException(String message) {
        super(message);
    }

    FrameException(String message, Throwable cause) {
        super(message, cause);
    }
}
