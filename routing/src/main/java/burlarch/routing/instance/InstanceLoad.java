package burlarch.routing.instance;

import burlarch.routing.ServerLoad;

/**
 * Estimate of the load of one instance. Requests of this router are counted exactly; those of other routers are
 * estimated from reported loads and from delays of first events. Reported values fade linearly to 0 as they become
 * outdated.
 */
public final class InstanceLoad {
    /** Time after which reported requests of other routers no longer count. */
    private static final double OTHER_REQUESTS_FADE_NANOS = 4e9;
    /** Time for which a reported queue is assumed to remain. */
    private static final long QUEUE_VALID_NANOS = 1_000_000_000L;
    /** Time after which an observed wait no longer predicts the wait of the next request. */
    private static final double WAIT_FADE_NANOS = 8e8;
    /** Time after which an observed wait no longer indicates a queue. */
    private static final double QUEUE_FADE_NANOS = 2e9;

    /** Weight of the newest wait in the running average. */
    private static final double WAIT_GAIN = 0.5;
    /** Minimum fraction of own unprefilled tokens that counts as backlog until their first events arrive. */
    private static final double MIN_BACKLOG_FRACTION = 0.5;
    /** Minimum wait that indicates a queue. Shorter ones are noise, or a single prompt that was being prefilled. */
    private static final long QUEUE_WAIT_NANOS = 200_000_000L;

    private int ownRequests;
    private double ownMemoryTokens;
    /** Estimated own prompt tokens that are not yet prefilled, as of {@link #backlogAtNanos}. */
    private double backlogTokens;

    private long backlogAtNanos;
    /** Prompt tokens of own requests without a first event. */
    private long ownPrefillTokens;

    private int ownPrefilling;
    private double otherRequests;
    private long otherRequestsAtNanos;
    private int slots;
    private int waiting;
    private boolean hasReportedLoad;
    private double waitNanos;
    private long waitAtNanos;

    InstanceLoad(int slots) {
        this.slots = Math.max(1, slots);
    }

    /** Returns the requests of this router that are in flight at the instance. */
    public int ownRequests() {
        return ownRequests;
    }

    /** Returns the number of own requests whose first event has not arrived. */
    public int ownPrefilling() {
        return ownPrefilling;
    }

    /** Returns the number of requests that the instance can execute at once, at least 1. */
    public int slots() {
        return slots;
    }

    void setSlots(int slotCount) {
        slots = Math.max(1, slotCount);
    }

    private double otherRequests(long nowNanos) {
        return otherRequests * Math.max(0, 1 - (nowNanos - otherRequestsAtNanos) / OTHER_REQUESTS_FADE_NANOS);
    }

    /** Returns the estimated number of requests of all routers at the instance. */
    public double requests(long nowNanos) {
        return ownRequests + otherRequests(nowNanos);
    }

    /** Whether requests are queued there, by a recent report or by recent delays of first events. */
    public boolean hasQueue(long nowNanos) {
        return waiting > 0 && nowNanos - otherRequestsAtNanos < QUEUE_VALID_NANOS
                || fadedWaitNanos(QUEUE_FADE_NANOS, nowNanos) > QUEUE_WAIT_NANOS;
    }

    /** Returns the expected wait of a new request for those of all routers, by recent waits. */
    public double waitNanos(long nowNanos) {
        return fadedWaitNanos(WAIT_FADE_NANOS, nowNanos);
    }

    private double fadedWaitNanos(double fadeNanos, long nowNanos) {
        return waitNanos * Math.max(0, 1 - (nowNanos - waitAtNanos) / fadeNanos);
    }

    /** Records that a request has waited at least this long for others and its first event has not arrived. */
    public void onStillWaiting(double waitedNanos, long nowNanos) {
        waitNanos = Math.max(waitNanos(nowNanos), waitedNanos);
        waitAtNanos = nowNanos;
    }

    /** Records how much later a first event arrived than without other requests. Negative values count as 0. */
    public void onWaited(double waitedNanos, long nowNanos) {
        double waitNanosBefore = waitNanos(nowNanos);
        waitNanos = waitNanosBefore + (Math.max(0, waitedNanos) - waitNanosBefore) * WAIT_GAIN;
        waitAtNanos = nowNanos;
    }

    /**
     * Returns the KV cache in tokens that running requests use. Each request of other routers counts as {@code
     * meanTokens}.
     */
    public double memoryTokens(double meanTokens, long nowNanos) {
        return ownMemoryTokens + otherRequests(nowNanos) * meanTokens;
    }

    /**
     * Returns the own prompt tokens that are still to be prefilled, estimated from the time since they were sent. At
     * least half of them count until their first events arrive, because requests of other routers are prefilled in
     * between.
     */
    public double backlogTokens(InstanceSpeed speed, long nowNanos) {
        double prefilled = Math.max(0, nowNanos - backlogAtNanos) * speed.tokensPerNano();
        backlogTokens = Math.max(ownPrefillTokens * MIN_BACKLOG_FRACTION, backlogTokens - prefilled);
        backlogAtNanos = nowNanos;
        return backlogTokens;
    }

    /**
     * Records that an own request was sent.
     *
     * @param tokensToPrefill prompt tokens to be prefilled for it
     * @param memoryTokens KV cache that it uses, in tokens
     */
    public void onSent(int tokensToPrefill, double memoryTokens, InstanceSpeed speed, long nowNanos) {
        backlogTokens(speed, nowNanos);
        backlogTokens += tokensToPrefill;
        ownPrefillTokens += tokensToPrefill;
        ownPrefilling++;
        ownMemoryTokens += memoryTokens;
        ownRequests++;
    }

    /**
     * Records that the first event of an own request arrived, or that it ended without one. Called once for each
     * {@link #onSent}.
     */
    public void onPrefilled(int tokensToPrefill) {
        ownPrefilling--;
        ownPrefillTokens = Math.max(0, ownPrefillTokens - tokensToPrefill);
    }

    /** Records the end of an own request. Called once for each {@link #onSent}. */
    public void onEnded(double memoryTokens) {
        ownRequests--;
        ownMemoryTokens = ownRequests == 0 ? 0 : Math.max(0, ownMemoryTokens - memoryTokens);
    }

    /** Removes the prompt of an own request that was not executed from the backlog. */
    public void withdraw(int tokensToPrefill) {
        backlogTokens = Math.max(0, backlogTokens - tokensToPrefill);
    }

    /**
     * Applies a load report of a response. A report that is older than the last one is ignored.
     *
     * @param ownRequestsThen own requests that were in flight when the response began
     * @param ownPrefillingThen those of them without a first event
     * @param meanPrefillTokens mean tokens to prefill for a request, assumed for each queued request
     * @param atNanos time at which the response began
     */
    public void onLoadReported(
            ServerLoad reported,
            int ownRequestsThen,
            int ownPrefillingThen,
            double meanPrefillTokens,
            InstanceSpeed speed,
            long atNanos) {
        if (hasReportedLoad && atNanos - otherRequestsAtNanos < 0) {
            return;
        }
        hasReportedLoad = true;
        otherRequests = Math.max(0, reported.running() + reported.waiting() - ownRequestsThen);
        otherRequestsAtNanos = atNanos;
        waiting = reported.waiting();
        if (reported.slots() > 0) {
            slots = reported.slots();
        }
        double othersWaitNanos = Math.max(0, waiting - ownPrefillingThen) * meanPrefillTokens / speed.tokensPerNano();
        waitNanos = Math.max(waitNanos(atNanos), othersWaitNanos);
        waitAtNanos = atNanos;
    }
}
