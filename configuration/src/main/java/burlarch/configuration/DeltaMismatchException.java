package burlarch.configuration;

/** A delta that doesn't fit the document at hand; the whole document has to be fetched. */
public final class DeltaMismatchException extends Exception {
    private static final long serialVersionUID = 1L;

    DeltaMismatchException(String message, Throwable cause) {
        super(message, cause);
    }
}
