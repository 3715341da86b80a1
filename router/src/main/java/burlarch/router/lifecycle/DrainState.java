package burlarch.router.lifecycle;

/**
 * Drain state of a router: whether it is draining, and which requests it accepts meanwhile. The drain is set at most
 * once; before that every request is accepted. May be called on any thread.
 */
public final class DrainState {
    private volatile Drain drain;

    /** Lets the given drain decide from now on which requests are accepted. */
    public void onDrainStarted(Drain started) {
        drain = started;
    }

    /** Whether a response that begins now must be the last one on its connection. */
    public boolean closesConnections() {
        Drain started = drain;
        return started != null && started.closesConnections();
    }

    /**
     * Whether a request that is complete now is accepted.
     *
     * @param deadlineNanos time at which the request ends at the latest, by {@link System#nanoTime}
     */
    public boolean accepts(long deadlineNanos) {
        Drain started = drain;
        return started == null || started.accepts(deadlineNanos);
    }

    /** Whether the drain is over, so that no request may be sent to an instance any more. */
    public boolean isOver() {
        Drain started = drain;
        return started != null && started.isOver();
    }
}
