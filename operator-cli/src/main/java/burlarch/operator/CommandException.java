package burlarch.operator;

/** A command failed for a reason that is reported to the operator. The exit code states what the operator may do. */
public final class CommandException extends Exception {
    /** No controller responded conclusively: a change may be in force or not. The same command may be repeated. */
    public static final int OUTCOME_UNKNOWN = 1;
    /** An argument is wrong, or a file cannot be read. */
    public static final int INVALID_USAGE = 2;
    /** The configuration or patch is invalid: the same command never succeeds. */
    public static final int INVALID_CONFIGURATION = 3;
    /** Another version than the expected one is in force: the change must be based on the version in force. */
    public static final int VERSION_CONFLICT = 4;

    private static final long serialVersionUID = 1L;
    private final int exitCode;

    /**
     * Creates a failure without a stack trace.
     *
     * @param message the reasons, one per line
     */
    public CommandException(int exitCode, String message) {
        super(message, null, false, false);
        this.exitCode = exitCode;
    }

    /** Returns the exit code of the process. */
    public int exitCode() {
        return exitCode;
    }
}
