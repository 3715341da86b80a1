package burlarch.controller.error;

import burlarch.configuration.ConfigurationProblem;
import java.util.List;

/**
 * A call of the control API failed for a reason that is reported to its caller. {@link #kind} says what went wrong and
 * whether the same call may be retried. It has no stack trace, because it reports no fault of the program.
 */
public final class ControlException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final transient List<ConfigurationProblem> problems;

    /** A failure that its kind describes completely. */
    public ControlException(ErrorKind kind) {
        this(kind, List.of());
    }

    /** A failure with one problem in the content. */
    public ControlException(ErrorKind kind, String field, String reason) {
        this(kind, List.of(new ConfigurationProblem(field, reason)));
    }

    /** A failure with all problems that were found in the content. */
    public ControlException(ErrorKind kind, List<ConfigurationProblem> problems) {
        super(kind + " " + problems, null, false, false);
        this.kind = kind;
        this.problems = List.copyOf(problems);
    }

    /** What went wrong. */
    public ErrorKind kind() {
        return kind;
    }

    /** The problems in the content; empty where the kind says it all. */
    public List<ConfigurationProblem> problems() {
        return problems;
    }
}
