package burlarch.routing;

/**
 * Whether one store is still there: it tells of what is saved to it. Several saves of which nothing is heard
 * for a while mean that it is down, and moves from it would be waited for in vain.
 */
final class StoreWatch {
    private static final int SAVES = 3;
    private static final long SILENCE_NANOS = 500_000_000L;

    private boolean wasHeard;
    private int unheard;
    private long unheardSinceNanos;

    /** Events or a list of the store came. */
    void onHeard() {
        wasHeard = true;
        unheard = 0;
    }

    /** An engine has read what it was told to save there. */
    void onSaveDue(long nowNanos) {
        if (unheard == 0) {
            unheardSinceNanos = nowNanos;
        }
        unheard++;
    }

    /** Whether it is taken to be down. A store that was never heard of is not followed by this router. */
    boolean isSilent(long nowNanos) {
        return wasHeard && unheard >= SAVES && nowNanos - unheardSinceNanos > SILENCE_NANOS;
    }
}
