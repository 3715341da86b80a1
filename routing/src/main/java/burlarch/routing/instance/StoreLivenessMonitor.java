package burlarch.routing.instance;

/**
 * Failure detector of one store. A store reports an event for each segment saved to it. Several saves without any
 * report for some time mean that it is down and that fetches from it would wait in vain. A store that has never
 * reported anything is assumed to be up, because this router may not receive its events.
 */
public final class StoreLivenessMonitor {
    private static final int MAX_UNACKNOWLEDGED_SAVES = 3;
    private static final long TIMEOUT_NANOS = 500_000_000L;

    private boolean hasEverReported;
    private int unacknowledgedSaves;
    private long unacknowledgedSinceNanos;

    /** Records that events or a complete list of the store arrived. */
    public void onEventsReceived() {
        hasEverReported = true;
        unacknowledgedSaves = 0;
    }

    /** Records that an engine has prefilled segments that it saves to the store, so that a report is due. */
    public void onSaveDue(long nowNanos) {
        if (unacknowledgedSaves == 0) {
            unacknowledgedSinceNanos = nowNanos;
        }
        unacknowledgedSaves++;
    }

    /** Whether the store is assumed to be down. */
    public boolean isUnresponsive(long nowNanos) {
        return hasEverReported
                && unacknowledgedSaves >= MAX_UNACKNOWLEDGED_SAVES
                && nowNanos - unacknowledgedSinceNanos > TIMEOUT_NANOS;
    }
}
