package burlarch.router;

import java.util.EnumSet;
import java.util.Set;

/**
 * What is known of one send of a request to an instance. A send that ends as {@link #PARTLY_SENT},
 * {@link #SENT} or {@link #ANSWERED_IN_PART} ends unclear: the instance may have run it, or may run it yet.
 */
enum SendState {
    /** No byte was handed to a socket. */
    NOT_SENT(false),
    /** Some bytes may be out. An instance may run a request on its head, so that no part is harmless. */
    PARTLY_SENT(true),
    /** Each byte was handed to the socket; no final answer has begun. */
    SENT(true),
    /** The head of an answer with the request's id says that it has not run and never will. */
    REJECTED(false),
    /** The head of an answer with the request's id has come, not its end. */
    ANSWERED_IN_PART(true),
    /** A whole answer with the request's id has come. */
    ANSWERED(true);

    private final boolean mayHaveRun;

    SendState(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether the instance may have begun work on it. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** The one change of state: {@code next}, where it can follow. */
    SendState to(SendState next) {
        if (!followers().contains(next)) {
            throw new IllegalStateException(next + " after " + this);
        }
        return next;
    }

    private Set<SendState> followers() {
        return switch (this) {
            case NOT_SENT -> EnumSet.of(PARTLY_SENT, SENT, REJECTED, ANSWERED_IN_PART);
            case PARTLY_SENT -> EnumSet.of(SENT, REJECTED, ANSWERED_IN_PART);
            case SENT -> EnumSet.of(REJECTED, ANSWERED_IN_PART);
            case ANSWERED_IN_PART -> EnumSet.of(ANSWERED);
            case REJECTED, ANSWERED -> EnumSet.noneOf(SendState.class);
        };
    }
}
