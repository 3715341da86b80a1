package burlarch.engine;

import burlarch.routing.KvEvents.KvEvent;
import java.util.List;

/**
 * The answer to a call for events or for the list of kept parts.
 *
 * @param next the {@code since} of the next call
 * @param lost whether events before these are missing
 * @param events what happened, or for a list what is kept; all empty unless the status is OK
 */
public record KvEventsResponse(Status status, long epoch, long next, boolean lost, List<KvEvent> events) {

    /** How the call ended. */
    public enum Status {
        OK,
        /** 429: too many such calls are held there. */
        LIMITED,
        /** 421: another instance has that address. */
        MISDIRECTED,
        /** An answer that can't be used: another status, not the JSON wanted, or larger than the bound. */
        INVALID,
        /** None in time, or the connection failed. */
        NO_ANSWER
    }

    static KvEventsResponse failed(Status status) {
        return new KvEventsResponse(status, 0, 0, false, List.of());
    }
}
