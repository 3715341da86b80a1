package burlarch.router.upstream;

import java.util.EnumSet;
import java.util.Set;

/**
 * State of one send of a request to an instance. A send that ends as {@link #PARTLY_SENT},
 * {@link #SENT} or {@link #PARTLY_RESPONDED} ends with an unknown outcome: the instance may have executed the
 * request or may yet do so.
 *
 * <table>
 * <caption>Transitions; all others are illegal</caption>
 * <tr><th>state</th><th>may have run</th><th>next states</th></tr>
 * <tr><td>NOT_SENT</td><td>no</td><td>PARTLY_SENT, SENT, REJECTED, PARTLY_RESPONDED</td></tr>
 * <tr><td>PARTLY_SENT</td><td>yes</td><td>SENT, REJECTED, PARTLY_RESPONDED</td></tr>
 * <tr><td>SENT</td><td>yes</td><td>REJECTED, PARTLY_RESPONDED</td></tr>
 * <tr><td>PARTLY_RESPONDED</td><td>yes</td><td>RESPONDED</td></tr>
 * <tr><td>REJECTED</td><td>no</td><td>none</td></tr>
 * <tr><td>RESPONDED</td><td>yes</td><td>none</td></tr>
 * </table>
 */
public enum SendState {
    /** No byte was handed to a socket. */
    NOT_SENT(false),
    /** Some bytes may have been sent. An instance may execute a request after reading only its head. */
    PARTLY_SENT(true),
    /** Every byte was handed to the socket; no final response has begun. */
    SENT(true),
    /** The head of a response with the request's id states that the request was not executed and never will be. */
    REJECTED(false),
    /** The head of a response with the request's id was received, but not its end. */
    PARTLY_RESPONDED(true),
    /** A complete response with the request's id was received. */
    RESPONDED(true);

    private final boolean mayHaveRun;

    SendState(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Whether the instance may have begun to execute the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Checks a transition. All state changes use this method.
     *
     * @return {@code next}
     * @throws IllegalStateException if {@code next} cannot follow this state
     */
    public SendState transitionTo(SendState next) {
        if (!successors().contains(next)) {
            throw new IllegalStateException(next + " is not allowed after " + this);
        }
        return next;
    }

    private Set<SendState> successors() {
        return switch (this) {
            case NOT_SENT -> EnumSet.of(PARTLY_SENT, SENT, REJECTED, PARTLY_RESPONDED);
            case PARTLY_SENT -> EnumSet.of(SENT, REJECTED, PARTLY_RESPONDED);
            case SENT -> EnumSet.of(REJECTED, PARTLY_RESPONDED);
            case PARTLY_RESPONDED -> EnumSet.of(RESPONDED);
            case REJECTED, RESPONDED -> EnumSet.noneOf(SendState.class);
        };
    }
}
