package burlarch.routing.instance;

import burlarch.routing.ServerLoad;

/** What one instance has to do: our own requests exactly, those of other routers as far as it told. */
public final class EngineLoad {
    /** How long the load that an answer told counts for; it fades evenly. */
    private static final double FADE_NANOS = 4e9;
    /** How long a told queue is taken to stand. */
    private static final long QUEUE_VALID_NANOS = 1_000_000_000L;
    /** How long a wait that a first event showed counts for, fading evenly. */
    private static final double WAIT_FADE_NANOS = 8e8;
    /** How long the same tells that places there are not free for sure. */
    private static final double STRAIN_FADE_NANOS = 2e9;

    private static final double WAIT_GAIN = 0.5;
    private static final double MIN_BACKLOG_FRACTION = 0.5;
    /** Shorter waits are noise, or one prompt that was being read. */
    private static final long QUEUE_WAIT_NANOS = 200_000_000L;

    private int ownRequests;
    private double ownMemoryTokens;
    private double backlogTokens;
    /** Prompt tokens of our requests whose first event has not come. */
    private long ownPrefillTokens;

    private int ownPrefilling;
    private long backlogAtNanos;
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

    public int ownRequests() {
        return ownRequests;
    }

    public int slots() {
        return slots;
    }

    void setSlots(int count) {
        slots = Math.max(1, count);
    }

    /** Requests there that are not ours. */
    double otherRequests(long nowNanos) {
        return otherRequests * Math.max(0, 1 - (nowNanos - otherRequestsAtNanos) / FADE_NANOS);
    }

    /** Requests there, ours and others'. */
    public double requests(long nowNanos) {
        return ownRequests + otherRequests(nowNanos);
    }

    /** Whether requests wait there, as it told or first events showed lately. */
    public boolean hasQueue(long nowNanos) {
        return waiting > 0 && nowNanos - otherRequestsAtNanos < QUEUE_VALID_NANOS
                || faded(STRAIN_FADE_NANOS, nowNanos) > QUEUE_WAIT_NANOS;
    }

    /** How long requests lately waited for others, of whatever router. */
    public double waitNanos(long nowNanos) {
        return faded(WAIT_FADE_NANOS, nowNanos);
    }

    private double faded(double fadeNanos, long nowNanos) {
        return waitNanos * Math.max(0, 1 - (nowNanos - waitAtNanos) / fadeNanos);
    }

    /** A request has waited for others so long and does so still. */
    public void onStillWaiting(double nanos, long nowNanos) {
        waitNanos = Math.max(waitNanos(nowNanos), nanos);
        waitAtNanos = nowNanos;
    }

    /** A first event came so much later than the request alone would have needed. */
    public void onWaited(double nanos, long nowNanos) {
        double before = waitNanos(nowNanos);
        waitNanos = before + (Math.max(0, nanos) - before) * WAIT_GAIN;
        waitAtNanos = nowNanos;
    }

    /** Memory of what runs, in tokens; requests of others count as ours do on average. */
    public double memoryTokens(double meanTokens, long nowNanos) {
        return ownMemoryTokens + otherRequests(nowNanos) * meanTokens;
    }

    /**
     * Our prompt tokens that are still to be read. Half of them are taken to be there until the first event:
     * others' requests are read in between.
     */
    public double backlogTokens(EngineSpeed speed, long nowNanos) {
        double read = Math.max(0, nowNanos - backlogAtNanos) * speed.tokensPerNano();
        backlogTokens = Math.max(ownPrefillTokens * MIN_BACKLOG_FRACTION, backlogTokens - read);
        backlogAtNanos = nowNanos;
        return backlogTokens;
    }

    /** Requests of ours whose first event has not come. */
    public int ownPrefilling() {
        return ownPrefilling;
    }

    /** The first event of a request of ours came, or its end. */
    public void onPrefilled(int tokensToRead) {
        ownPrefilling--;
        ownPrefillTokens = Math.max(0, ownPrefillTokens - tokensToRead);
    }

    public void onSent(int tokensToRead, double memory, EngineSpeed speed, long nowNanos) {
        backlogTokens(speed, nowNanos);
        backlogTokens += tokensToRead;
        ownPrefillTokens += tokensToRead;
        ownPrefilling++;
        ownMemoryTokens += memory;
        ownRequests++;
    }

    public void onEnded(double memory) {
        ownRequests--;
        ownMemoryTokens = ownRequests == 0 ? 0 : Math.max(0, ownMemoryTokens - memory);
    }

    /** Requests that never ran leave nothing to read. */
    public void withdraw(int tokensToRead) {
        backlogTokens = Math.max(0, backlogTokens - tokensToRead);
    }

    /**
     * What an answer's head told.
     *
     * @param ownThen requests of ours that were there then
     * @param ownPrefillingThen those of them whose first event had not come
     * @param meanPrefillTokens of a request, for those that wait there
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
