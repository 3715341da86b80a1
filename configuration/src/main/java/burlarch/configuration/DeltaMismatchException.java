package burlarch.configuration;

/**
 * A delta does not lead from the document at hand to the one that was meant.
 *
 * <p><b>Causes:</b> the base is another document, the delta is corrupt, or its result has another digest.
 *
 * <p><b>What the caller may do:</b> keep its document and fetch the complete new one; applying again does not help.
 */
public final class DeltaMismatchException extends Exception {
    private static final long serialVersionUID = 1L;

    DeltaMismatchException(String message, Throwable cause) {
        super(message, cause);
    }
}
