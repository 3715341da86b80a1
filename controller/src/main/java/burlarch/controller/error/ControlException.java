package burlarch.controller.error;

import burlarch.configuration.ConfigurationProblem;
import java.util.List;

/**
 * Thrown when a call of the control API fails for a reason that is reported to its caller. {@link #kind} tells what
 * went wrong and whether the same call may be retried. It has no stack trace, because it does not report a program
 * error.
 */
public final class ControlException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final transient List<ConfigurationProblem> problems;

    /** Creates a failure without problems in the content. */
    public ControlException(ErrorKind kind) {
        this(kind, List.of());
    }

    /** Creates a failure with one problem in the content. */
    public ControlException(ErrorKind kind, String field, String reason) {
        this(kind, List.of(new ConfigurationProblem(field, reason)));
    }

    /** Creates a failure with all problems that were found in the content. */
    public ControlException(ErrorKind kind, List<ConfigurationProblem> problems) {
        super(kind + " " + problems, null, false, false);
        this.kind = kind;
        this.problems = List.copyOf(problems);
    }

    /** The kind of the failure. */
    public ErrorKind kind() {
        return kind;
    }

    /** The problems in the content; empty if the kind describes the failure completely. */
    public List<ConfigurationProblem> problems() {
        return problems;
    }
}
