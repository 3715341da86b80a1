package burlarch.configuration;

/**
 * A delta cannot be applied to a document: the delta was made for another base, is corrupt, or yields a result with
 * another digest than the delta states.
 *
 * <p>The caller keeps its document and fetches the complete new one. Applying the same delta again fails again.
 */
public final class DeltaMismatchException extends Exception {
    private static final long serialVersionUID = 1L;

    DeltaMismatchException(String message, Throwable cause) {
        super(message, cause);
    }
}
