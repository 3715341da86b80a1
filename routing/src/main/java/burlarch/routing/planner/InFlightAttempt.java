package burlarch.routing.planner;

import burlarch.routing.AttemptObserver.ObservedAttempt;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.instance.Engine;

/**
 * One attempt, from its placement to its end: what was planned, and what was measured when it was sent and
 * when its first event arrived. Owned by {@link InFlightAttempts}.
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

    /** Fraction of the latency target, beyond the uncontended time, after which a missing first event shows a queue. */
    private static final double OVERDUE_FRACTION_OF_TARGET = 0.4;

    private final Engine engine;
    private final ServiceState service;
    private final int attemptNumber;
    /** Weights version that the engine was known to have when the attempt was planned. */
    private final long versionAtPlanning;

    private final boolean plannedAsFetch;
    private final int cachedTokens;
    private final int tokensToPrefill;
    private final int tokensToTransfer;
    private final long transferNanos;
    private final double memoryTokens;
    /** Whether admission awaits the outcome of this attempt as a fetch. */
    private boolean fetch;

    private State state = State.PLANNED;
    private long sentNanos;
    private boolean trial;
    private boolean engineWasIdle;
    private int ownRequestsWhenSent;
    private double waitNanosWhenSent;
    private long overdueNanos;
    private long firstEventNanos;

    private InFlightAttempt(
            Engine engine,
            ServiceState service,
            RouteRequest request,
            int attemptNumber,
            boolean fetch,
            int cachedTokens,
            int tokensToPrefill,
            int tokensToTransfer,
            long transferNanos,
            double memoryTokens) {
        this.engine = engine;
        this.service = service;
        this.attemptNumber = attemptNumber;
        this.versionAtPlanning = engine.version(request.model());
        this.fetch = fetch;
        this.plannedAsFetch = fetch;
        this.cachedTokens = cachedTokens;
        this.tokensToPrefill = tokensToPrefill;
        this.tokensToTransfer = tokensToTransfer;
        this.transferNanos = transferNanos;
        this.memoryTokens = memoryTokens;
    }

    /**
     * An attempt of a request without a cached prompt.
     *
     * @param attemptNumber from 0
     */
    static InFlightAttempt plain(Engine engine, ServiceState service, RouteRequest request, int attemptNumber) {
        return new InFlightAttempt(engine, service, request, attemptNumber, false, 0, 0, 0, 0, 0);
    }

    /**
     * An attempt of a request with a cached prompt.
     *
     * @param attemptNumber from 0
     * @param source of the transfer of cached segments, null for none
     * @param offeredAsFetch whether it was offered to admission as a fetch
     */
    static InFlightAttempt prompt(
            ServiceState service,
            RouteRequest request,
            int attemptNumber,
            SchedulingChoice choice,
            KvTransferPlanner.TransferSource source,
            boolean offeredAsFetch) {
        int transferred = source == null ? 0 : source.gainedTokens();
        return new InFlightAttempt(
                choice.engine(),
                service,
                request,
                attemptNumber,
                offeredAsFetch,
                choice.cachedTokens(),
                Math.max(0, request.totalPromptTokens() - choice.cachedTokens() - transferred),
                transferred,
                source == null ? 0 : source.nanos(),
                CostModel.memoryTokens(request, choice.cachedTokens()));
    }

    /** The attempt is sent: counts it at the engine and the service. */
    void onSent(RouteRequest request, long nowNanos) {
        state = State.SENT;
        sentNanos = nowNanos;
        trial = engine.health().onSent();
        ownRequestsWhenSent = engine.load().ownRequests();
        waitNanosWhenSent = engine.load().waitNanos(nowNanos);
        engineWasIdle = engine.load().backlogTokens(engine.speed(), nowNanos) < 1;
        engine.load().onSent(tokensToPrefill, memoryTokens, engine.speed(), nowNanos);
        service.onSent(this);
        overdueNanos = nowNanos
                + (long) (uncontendedNanos()
                        + OVERDUE_FRACTION_OF_TARGET * request.route().targetLatencyMillis() * 1e6);
    }

    /** The first event arrived: the engine has prefilled the prompt. */
    void onFirstEvent(long nowNanos) {
        state = State.RESPONDING;
        firstEventNanos = nowNanos;
        engine.load().onPrefilled(tokensToPrefill);
        engine.health().onResponse(nowNanos);
    }

    /** The attempt ended; returns whether its first event had arrived. */
    boolean onEnded() {
        boolean hadFirstEvent = state == State.RESPONDING;
        state = State.ENDED;
        if (!hadFirstEvent) {
            engine.load().onPrefilled(tokensToPrefill);
        }
        return hadFirstEvent;
    }

    /** What an observer is told of it after its end. */
    ObservedAttempt observed(
            RouteRequest request, Placement.Send send, boolean sameZone, AttemptOutcome outcome, long nowNanos) {
        return new ObservedAttempt(
                request,
                engine.id(),
                sameZone,
                plannedAsFetch,
                cachedTokens,
                tokensToTransfer,
                tokensToPrefill,
                ownRequestsWhenSent,
                waitNanosWhenSent,
                send.predictedFirstNanos(),
                sentNanos,
                firstEventNanos == 0 ? -1 : firstEventNanos - sentNanos,
                nowNanos - sentNanos,
                outcome);
    }

    /** Its first event is still missing at the time when it was overdue; the next time is half as long again. */
    void postponeOverdue(long nowNanos) {
        overdueNanos = nowNanos + (nowNanos - sentNanos) / 2;
    }

    /** Whether it was sent and neither its first event nor its end was reported. */
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

    /** Number of the attempt among those of its request, from 0. */
    int attemptNumber() {
        return attemptNumber;
    }

    long versionAtPlanning() {
        return versionAtPlanning;
    }

    boolean isFetch() {
        return fetch;
    }

    /** The outcome of the fetch has been reported to admission. */
    void onFetchReported() {
        fetch = false;
    }

    /** Prompt tokens that the engine has to prefill. */
    int tokensToPrefill() {
        return tokensToPrefill;
    }

    /** Prompt tokens that a transfer brings to the engine. */
    int tokensToTransfer() {
        return tokensToTransfer;
    }

    /** Expected time of the transfer. */
    long transferNanos() {
        return transferNanos;
    }

    /** KV cache that the request uses, in tokens. */
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

    /** Whether the engine had no own prompt left to prefill when the attempt was sent. */
    boolean engineWasIdle() {
        return engineWasIdle;
    }

    /** Time from sending to the first event that the request would need if it were alone at the engine. */
    double uncontendedNanos() {
        return engine.speed().baseNanos() + engine.speed().prefillNanos(tokensToPrefill) + transferNanos;
    }
}
