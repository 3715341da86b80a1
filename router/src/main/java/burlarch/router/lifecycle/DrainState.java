package burlarch.router.lifecycle;

/**
 * Whether the router drains, and which requests it accepts meanwhile. The drain is set at most once; before
 * that every request is accepted. May be called on any thread.
 */
public final class DrainState {
    private volatile Drain drain;

    /** From now on the drain decides which requests are accepted. */
    public void onDrainStarted(Drain started) {
        drain = started;
    }

    /** Whether a response that begins now must be the last on its connection. */
    public boolean closesConnections() {
        Drain started = drain;
        return started != null && started.closesConnections();
    }

    /**
     * Whether a request that is complete now is accepted.
     *
     * @param deadlineNanos when the request ends in any case, by {@link System#nanoTime}
     */
    public boolean accepts(long deadlineNanos) {
        Drain started = drain;
        return started == null || started.accepts(deadlineNanos);
    }
}
