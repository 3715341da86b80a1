package burlarch.routing.planner;

import burlarch.routing.AttemptObserver.ObservedAttempt;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.instance.TrackedInstance;

/**
 * One attempt, from its placement to its end: what was planned, and what was measured at sending and at its first
 * event. Owned by {@link InFlightAttempts}.
 *
 * <pre>
 * state       sent   first event  end     not sent
 * PLANNED     SENT   -            -       (discarded)
 * SENT        -      RESPONDING   ENDED
 * RESPONDING  -      -            ENDED
 * </pre>
 */
final class InFlightAttempt {
    private enum State {
        PLANNED,
        SENT,
        RESPONDING,
        ENDED
    }

    /**
     * Fraction of the latency target, added to the uncontended time, after which a missing first event indicates a
     * queue.
     */
    private static final double OVERDUE_FRACTION_OF_TARGET = 0.4;

    private final TrackedInstance instance;
    private final ServiceState service;
    private final int attemptNumber;
    /** Weights version of the instance that was known when the attempt was planned. */
    private final long versionAtPlanning;

    private final boolean plannedAsCacheMiss;
    private final int cachedTokens;
    private final int tokensToPrefill;
    private final int tokensToTransfer;
    private final long transferNanos;
    private final double memoryTokens;
    /** Whether admission control awaits the outcome of this attempt as a cache miss. */
    private boolean cacheMiss;

    private State state = State.PLANNED;
    private long sentNanos;
    private boolean trial;
    private boolean instanceWasIdle;
    private int ownRequestsWhenSent;
    private double expectedWaitNanosWhenSent;
    private long overdueNanos;
    private long firstEventNanos;

    private InFlightAttempt(
            TrackedInstance instance,
            ServiceState service,
            RouteRequest request,
            int attemptNumber,
            boolean cacheMiss,
            int cachedTokens,
            int tokensToPrefill,
            int tokensToTransfer,
            long transferNanos,
            double memoryTokens) {
        this.instance = instance;
        this.service = service;
        this.attemptNumber = attemptNumber;
        this.versionAtPlanning = instance.version(request.model());
        this.cacheMiss = cacheMiss;
        this.plannedAsCacheMiss = cacheMiss;
        this.cachedTokens = cachedTokens;
        this.tokensToPrefill = tokensToPrefill;
        this.tokensToTransfer = tokensToTransfer;
        this.transferNanos = transferNanos;
        this.memoryTokens = memoryTokens;
    }

    /**
     * Creates an attempt of a request without a cached prompt.
     *
     * @param attemptNumber from 0
     */
    static InFlightAttempt plain(
            TrackedInstance instance, ServiceState service, RouteRequest request, int attemptNumber) {
        return new InFlightAttempt(instance, service, request, attemptNumber, false, 0, 0, 0, 0, 0);
    }

    /**
     * Creates an attempt of a request with a cached prompt.
     *
     * @param attemptNumber from 0
     * @param source source of the transfer of cached segments, null for none
     * @param offeredAsCacheMiss whether it was offered to admission control as a cache miss
     */
    static InFlightAttempt prompt(
            ServiceState service,
            RouteRequest request,
            int attemptNumber,
            SchedulingChoice choice,
            KvTransferPlanner.TransferSource source,
            boolean offeredAsCacheMiss) {
        int transferredTokens = source == null ? 0 : source.gainedTokens();
        return new InFlightAttempt(
                choice.instance(),
                service,
                request,
                attemptNumber,
                offeredAsCacheMiss,
                choice.cachedTokens(),
                Math.max(0, request.totalPromptTokens() - choice.cachedTokens() - transferredTokens),
                transferredTokens,
                source == null ? 0 : source.nanos(),
                CostModel.memoryTokens(request, choice.cachedTokens()));
    }

    /** Records the sending, and counts the attempt at the instance and the service. */
    void onSent(RouteRequest request, long nowNanos) {
        state = State.SENT;
        sentNanos = nowNanos;
        trial = instance.health().onSent();
        ownRequestsWhenSent = instance.load().ownRequests();
        expectedWaitNanosWhenSent = instance.load().waitNanos(nowNanos);
        instanceWasIdle = instance.load().backlogTokens(instance.speed(), nowNanos) < 1;
        instance.load().onSent(tokensToPrefill, memoryTokens, instance.speed(), nowNanos);
        service.onSent(this);
        overdueNanos = nowNanos
                + (long) (uncontendedNanos()
                        + OVERDUE_FRACTION_OF_TARGET * request.route().targetLatencyMillis() * 1e6);
    }

    /** Records the first event, which shows that the instance has prefilled the prompt. */
    void onFirstEvent(long nowNanos) {
        state = State.RESPONDING;
        firstEventNanos = nowNanos;
        instance.load().onPrefilled(tokensToPrefill);
        instance.health().onResponse(nowNanos);
    }

    /** Records the end. Returns whether the first event had arrived. */
    boolean onEnded() {
        boolean hadFirstEvent = state == State.RESPONDING;
        state = State.ENDED;
        if (!hadFirstEvent) {
            instance.load().onPrefilled(tokensToPrefill);
        }
        return hadFirstEvent;
    }

    /** Returns the report on the ended attempt for an observer. */
    ObservedAttempt observed(
            RouteRequest request, Placement.Send send, boolean sameZone, AttemptOutcome outcome, long nowNanos) {
        return new ObservedAttempt(
                request,
                instance.id(),
                sameZone,
                plannedAsCacheMiss,
                cachedTokens,
                tokensToTransfer,
                tokensToPrefill,
                ownRequestsWhenSent,
                expectedWaitNanosWhenSent,
                send.predictedFirstEventNanos(),
                sentNanos,
                firstEventNanos == 0 ? -1 : firstEventNanos - sentNanos,
                nowNanos - sentNanos,
                outcome);
    }

    /** Sets the next time at which a missing first event is evaluated: after half the time elapsed since sending. */
    void postponeOverdue(long nowNanos) {
        overdueNanos = nowNanos + (nowNanos - sentNanos) / 2;
    }

    /** Whether it was sent, and neither its first event nor its end was reported. */
    boolean awaitsFirstEvent() {
        return state == State.SENT;
    }

    boolean isOverdue(long nowNanos) {
        return nowNanos - overdueNanos >= 0;
    }

    TrackedInstance instance() {
        return instance;
    }

    ServiceState service() {
        return service;
    }

    /** Returns the number of the attempt among those of its request, from 0. */
    int attemptNumber() {
        return attemptNumber;
    }

    long versionAtPlanning() {
        return versionAtPlanning;
    }

    boolean isCacheMiss() {
        return cacheMiss;
    }

    /** Records that the outcome of the cache miss has been reported to admission control. */
    void onMissReported() {
        cacheMiss = false;
    }

    /** Returns the prompt tokens that the instance has to prefill. */
    int tokensToPrefill() {
        return tokensToPrefill;
    }

    /** Returns the prompt tokens that a transfer delivers to the instance. */
    int tokensToTransfer() {
        return tokensToTransfer;
    }

    /** Returns the expected time of the transfer. */
    long transferNanos() {
        return transferNanos;
    }

    /** Returns the KV cache that the request uses, in tokens. */
    double memoryTokens() {
        return memoryTokens;
    }

    long sentNanos() {
        return sentNanos;
    }

    /** Whether it is a trial of an ejected instance. */
    boolean isTrial() {
        return trial;
    }

    /** Whether no prompt of this router was left to prefill at the instance when the attempt was sent. */
    boolean instanceWasIdle() {
        return instanceWasIdle;
    }

    /** Returns the expected time from sending to the first event if the request were alone at the instance. */
    double uncontendedNanos() {
        return instance.speed().baseNanos() + instance.speed().prefillNanos(tokensToPrefill) + transferNanos;
    }
}
