package burlarch.routing.instance;

/**
 * Detects that a store is down. A store reports an event for each segment saved to it; several saves without
 * any report for a while mean that it is down, and that fetches from it would wait in vain. A store that has
 * never reported anything is one whose events this router does not receive, and is assumed to be up.
 */
public final class StoreLivenessMonitor {
    private static final int MAX_UNACKNOWLEDGED_SAVES = 3;
    private static final long TIMEOUT_NANOS = 500_000_000L;

    private boolean hasEverReported;
    private int unacknowledgedSaves;
    private long unacknowledgedSinceNanos;

    /** Events or a complete list of the store arrived. */
    public void onEventsReceived() {
        hasEverReported = true;
        unacknowledgedSaves = 0;
    }

    /** An engine has prefilled what it was to save to the store, so a report is due. */
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
