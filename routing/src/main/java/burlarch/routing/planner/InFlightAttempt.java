package burlarch.routing.planner;

import burlarch.routing.AttemptObserver.ObservedAttempt;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.instance.Engine;

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

    private final Engine engine;
    private final ServiceState service;
    private final int attemptNumber;
    /** Weights version of the engine that was known when the attempt was planned. */
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
    private boolean engineWasIdle;
    private int ownRequestsWhenSent;
    private double expectedWaitNanosWhenSent;
    private long overdueNanos;
    private long firstEventNanos;

    private InFlightAttempt(
            Engine engine,
            ServiceState service,
            RouteRequest request,
            int attemptNumber,
            boolean cacheMiss,
            int cachedTokens,
            int tokensToPrefill,
            int tokensToTransfer,
            long transferNanos,
            double memoryTokens) {
        this.engine = engine;
        this.service = service;
        this.attemptNumber = attemptNumber;
        this.versionAtPlanning = engine.version(request.model());
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
    static InFlightAttempt plain(Engine engine, ServiceState service, RouteRequest request, int attemptNumber) {
        return new InFlightAttempt(engine, service, request, attemptNumber, false, 0, 0, 0, 0, 0);
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
                choice.engine(),
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

    /** Records the sending, and counts the attempt at the engine and the service. */
    void onSent(RouteRequest request, long nowNanos) {
        state = State.SENT;
        sentNanos = nowNanos;
        trial = engine.health().onSent();
        ownRequestsWhenSent = engine.load().ownRequests();
        expectedWaitNanosWhenSent = engine.load().waitNanos(nowNanos);
        engineWasIdle = engine.load().backlogTokens(engine.speed(), nowNanos) < 1;
        engine.load().onSent(tokensToPrefill, memoryTokens, engine.speed(), nowNanos);
        service.onSent(this);
        overdueNanos = nowNanos
                + (long) (uncontendedNanos()
                        + OVERDUE_FRACTION_OF_TARGET * request.route().targetLatencyMillis() * 1e6);
    }

    /** Records the first event, which shows that the engine has prefilled the prompt. */
    void onFirstEvent(long nowNanos) {
        state = State.RESPONDING;
        firstEventNanos = nowNanos;
        engine.load().onPrefilled(tokensToPrefill);
        engine.health().onResponse(nowNanos);
    }

    /** Records the end. Returns whether the first event had arrived. */
    boolean onEnded() {
        boolean hadFirstEvent = state == State.RESPONDING;
        state = State.ENDED;
        if (!hadFirstEvent) {
            engine.load().onPrefilled(tokensToPrefill);
        }
        return hadFirstEvent;
    }

    /** Returns the report on the ended attempt for an observer. */
    ObservedAttempt observed(
            RouteRequest request, Placement.Send send, boolean sameZone, AttemptOutcome outcome, long nowNanos) {
        return new ObservedAttempt(
                request,
                engine.id(),
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

    Engine engine() {
        return engine;
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

    /** Returns the prompt tokens that the engine has to prefill. */
    int tokensToPrefill() {
        return tokensToPrefill;
    }

    /** Returns the prompt tokens that a transfer delivers to the engine. */
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

    /** Whether no prompt of this router was left to prefill at the engine when the attempt was sent. */
    boolean engineWasIdle() {
        return engineWasIdle;
    }

    /** Returns the expected time from sending to the first event if the request were alone at the engine. */
    double uncontendedNanos() {
        return engine.speed().baseNanos() + engine.speed().prefillNanos(tokensToPrefill) + transferNanos;
    }
}
