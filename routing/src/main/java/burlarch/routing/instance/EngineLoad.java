package burlarch.routing.instance;

import burlarch.routing.ServerLoad;

/**
 * The load of one instance: this router's own requests exactly, those of other routers by what responses
 * report and by how long first events take. Reported values fade linearly to 0, as they get outdated.
 */
public final class EngineLoad {
    /** After which reported requests of other routers count nothing. */
    private static final double OTHER_REQUESTS_FADE_NANOS = 4e9;
    /** How long a reported queue is assumed to remain. */
    private static final long QUEUE_VALID_NANOS = 1_000_000_000L;
    /** After which an observed wait no longer predicts the wait of the next request. */
    private static final double WAIT_FADE_NANOS = 8e8;
    /** After which an observed wait no longer counts as a queue. */
    private static final double STRAIN_FADE_NANOS = 2e9;

    /** Weight of the newest wait in the running average. */
    private static final double WAIT_GAIN = 0.5;
    /** Fraction of own unprefilled tokens that are in the backlog until their first events arrive. */
    private static final double MIN_BACKLOG_FRACTION = 0.5;
    /** Shorter waits are noise, or a single prompt that was being prefilled. */
    private static final long QUEUE_WAIT_NANOS = 200_000_000L;

    private int ownRequests;
    private double ownMemoryTokens;
    /** Estimated own prompt tokens that are not prefilled yet, as of {@link #backlogAtNanos}. */
    private double backlogTokens;

    private long backlogAtNanos;
    /** Prompt tokens of own requests without a first event. */
    private long ownPrefillTokens;

    private int ownPrefilling;
    private double otherRequests;
    private long otherRequestsAtNanos;
    private int slots;
    private int waiting;
    private boolean loadWasReported;
    private double waitNanos;
    private long waitAtNanos;

    EngineLoad(int slots) {
        this.slots = Math.max(1, slots);
    }

    /** Requests of this router that are at the instance. */
    public int ownRequests() {
        return ownRequests;
    }

    /** Those of them whose first event has not arrived. */
    public int ownPrefilling() {
        return ownPrefilling;
    }

    /** Requests that the instance can execute at once, at least 1. */
    public int slots() {
        return slots;
    }

    void setSlots(int count) {
        slots = Math.max(1, count);
    }

    private double otherRequests(long nowNanos) {
        return otherRequests * Math.max(0, 1 - (nowNanos - otherRequestsAtNanos) / OTHER_REQUESTS_FADE_NANOS);
    }

    /** Estimated requests there, of all routers. */
    public double requests(long nowNanos) {
        return ownRequests + otherRequests(nowNanos);
    }

    /** Whether requests wait there, by a recent report or by recent waits for first events. */
    public boolean hasQueue(long nowNanos) {
        return waiting > 0 && nowNanos - otherRequestsAtNanos < QUEUE_VALID_NANOS
                || fadedWaitNanos(STRAIN_FADE_NANOS, nowNanos) > QUEUE_WAIT_NANOS;
    }

    /** How long a new request is expected to wait for those of all routers, by recent waits. */
    public double waitNanos(long nowNanos) {
        return fadedWaitNanos(WAIT_FADE_NANOS, nowNanos);
    }

    private double fadedWaitNanos(double fadeNanos, long nowNanos) {
        return waitNanos * Math.max(0, 1 - (nowNanos - waitAtNanos) / fadeNanos);
    }

    /** A request has waited at least so long for others, and its first event has not arrived. */
    public void onStillWaiting(double waitedNanos, long nowNanos) {
        waitNanos = Math.max(waitNanos(nowNanos), waitedNanos);
        waitAtNanos = nowNanos;
    }

    /** A first event arrived so much later than without other requests; less than 0 counts as 0. */
    public void onWaited(double waitedNanos, long nowNanos) {
        double before = waitNanos(nowNanos);
        waitNanos = before + (Math.max(0, waitedNanos) - before) * WAIT_GAIN;
        waitAtNanos = nowNanos;
    }

    /** KV cache used by running requests, in tokens; each request of other routers counts {@code meanTokens}. */
    public double memoryTokens(double meanTokens, long nowNanos) {
        return ownMemoryTokens + otherRequests(nowNanos) * meanTokens;
    }

    /**
     * Own prompt tokens that are still to be prefilled, by the time since they were sent. Half of them count
     * until their first events arrive, because requests of other routers are prefilled in between.
     */
    public double backlogTokens(EngineSpeed speed, long nowNanos) {
        double prefilled = Math.max(0, nowNanos - backlogAtNanos) * speed.tokensPerNano();
        backlogTokens = Math.max(ownPrefillTokens * MIN_BACKLOG_FRACTION, backlogTokens - prefilled);
        backlogAtNanos = nowNanos;
        return backlogTokens;
    }

    /** An own request was sent, with so many tokens to prefill and so much memory, in tokens. */
    public void onSent(int tokensToPrefill, double memoryTokens, EngineSpeed speed, long nowNanos) {
        backlogTokens(speed, nowNanos);
        backlogTokens += tokensToPrefill;
        ownPrefillTokens += tokensToPrefill;
        ownPrefilling++;
        ownMemoryTokens += memoryTokens;
        ownRequests++;
    }

    /** The first event of an own request arrived, or it ended without one. Once for each {@link #onSent}. */
    public void onPrefilled(int tokensToPrefill) {
        ownPrefilling--;
        ownPrefillTokens = Math.max(0, ownPrefillTokens - tokensToPrefill);
    }

    /** An own request ended. Once for each {@link #onSent}. */
    public void onEnded(double memoryTokens) {
        ownRequests--;
        ownMemoryTokens = ownRequests == 0 ? 0 : Math.max(0, ownMemoryTokens - memoryTokens);
    }

    /** An own request was not executed: its prompt will not be prefilled. */
    public void withdraw(int tokensToPrefill) {
        backlogTokens = Math.max(0, backlogTokens - tokensToPrefill);
    }

    /**
     * A response reported the instance's load; a report that is older than the last one is ignored.
     *
     * @param ownThen own requests that were there when the response began
     * @param ownPrefillingThen those of them without a first event
     * @param meanPrefillTokens of a request, assumed for those that wait there
     * @param atNanos when the response began
     */
    public void onLoadReported(
            ServerLoad reported,
            int ownThen,
            int ownPrefillingThen,
            double meanPrefillTokens,
            EngineSpeed speed,
            long atNanos) {
        if (loadWasReported && atNanos - otherRequestsAtNanos < 0) {
            return;
        }
        loadWasReported = true;
        otherRequests = Math.max(0, reported.running() + reported.waiting() - ownThen);
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
