package burlarch.routing.instance;

/**
 * Whether one store is still there: it tells of what is saved to it. Several saves of which nothing is heard
 * for a while mean that it is down, and moves from it would be waited for in vain.
 */
public final class StoreLivenessMonitor {
    private static final int UNACKNOWLEDGED_SAVES = 3;
    private static final long TIMEOUT_NANOS = 500_000_000L;

    private boolean hasEverReported;
    private int unacknowledgedSaves;
    private long unacknowledgedSinceNanos;

    /** Events or a list of the store came. */
    public void onEventsReceived() {
        hasEverReported = true;
        unacknowledgedSaves = 0;
    }

    /** An engine has read what it was told to save there. */
    public void onSaveDue(long nowNanos) {
        if (unacknowledgedSaves == 0) {
            unacknowledgedSinceNanos = nowNanos;
        }
        unacknowledgedSaves++;
    }

    /** Whether it is taken to be down. A store that was never heard of is not followed by this router. */
    public boolean isUnresponsive(long nowNanos) {
        return hasEverReported
                && unacknowledgedSaves >= UNACKNOWLEDGED_SAVES
                && nowNanos - unacknowledgedSinceNanos > TIMEOUT_NANOS;
    }
}
