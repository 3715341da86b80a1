package burlarch.engine;

import burlarch.routing.KvEvents.KvEvent;
import java.util.List;

/**
 * The response to a call for prefix-cache events or for a snapshot.
 *
 * @param next the {@code since} of the next call
 * @param lost whether events before these are missing
 * @param events the events, or for a snapshot what is cached; all fields are empty unless the status is OK
 */
public record KvEventsResponse(Status status, long epoch, long next, boolean lost, List<KvEvent> events) {

    /** How the call ended. */
    public enum Status {
        /** A valid response was received. */
        OK,
        /** 429: the source holds too many such calls. */
        LIMITED,
        /** 421: another instance has that address. */
        MISDIRECTED,
        /** The response is unusable: another status, not the expected JSON, or larger than the limit. */
        INVALID,
        /** No response in time, or the connection failed. */
        NO_RESPONSE
    }

    static KvEventsResponse failed(Status status) {
        return new KvEventsResponse(status, 0, 0, false, List.of());
    }
}
