package burlarch.controller.error;

import java.util.List;

/**
 * A call that failed in a way that its caller is to be told. Carries no stack trace, being no fault of the
 * code.
 */
public final class ControlException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final transient List<Problem> problems;

    public ControlException(ErrorKind kind) {
        this(kind, List.of());
    }

    public ControlException(ErrorKind kind, String field, String reason) {
        this(kind, List.of(new Problem(field, reason)));
    }

    public ControlException(ErrorKind kind, List<Problem> problems) {
        super(kind + " " + problems, null, false, false);
        this.kind = kind;
        this.problems = List.copyOf(problems);
    }

    public ErrorKind kind() {
        return kind;
    }

    /** What is wrong with the content; empty where the kind says all. */
    public List<Problem> problems() {
        return problems;
    }
}
