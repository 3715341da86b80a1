package burlarch.engine;

import burlarch.routing.KvEvents.KvEvent;
import java.util.List;

/**
 * Response to a call for prefix-cache events or for a snapshot. All fields except the status are 0, false or empty
 * unless the status is {@link Status#OK}.
 *
 * @param epoch identifies the sequence of offsets; the source begins a new one when its offsets restart
 * @param next offset to pass as {@code since} in the next call
 * @param lost whether events before these are missing
 * @param events the events in their order, or for a snapshot one entry per cached segment
 */
public record KvEventsResponse(Status status, long epoch, long next, boolean lost, List<KvEvent> events) {

    /** Outcome of the call. */
    public enum Status {
        /** A valid response was received. */
        OK,
        /** HTTP status 429: too many such calls are waiting at the source. */
        LIMITED,
        /** HTTP status 421: another instance has this address. */
        MISDIRECTED,
        /** The response is unusable: another HTTP status, unexpected JSON, or a body above the size limit. */
        INVALID,
        /** No response was received before the timeout, or the connection failed. */
        NO_RESPONSE
    }

    /** Returns a response without content, for a call that failed with {@code status}. */
    static KvEventsResponse failed(Status status) {
        return new KvEventsResponse(status, 0, 0, false, List.of());
    }
}
