package burlarch.routing.planner;

import burlarch.routing.AttemptObserver;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RouteRequest;
import burlarch.routing.ServerLoad;
import burlarch.routing.index.PrefixCacheIndex;
import burlarch.routing.instance.InstanceLoad;
import burlarch.routing.instance.TrackedInstance;
import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * The planned and in-flight attempts of one planner. Their progress updates the estimates of their instances, the
 * prefix-cache index, admission control, the retry budget and the attempt history.
 *
 * <p>An attempt is identified by its {@link Placement.Send} object, not by equality. Reports about an unknown attempt
 * are ignored, so that a repeated end counts once.
 */
final class InFlightAttempts {
    /** Maximum number of planned attempts. Callers send at once, so more than a few planned ones were abandoned. */
    private static final int MAX_PREPARED = 256;

    private final PrefixCacheIndex index;
    private final KvTransferPlanner transfers;
    private final AttemptHistory history;
    private final PlannerSettings settings;
    private final AttemptObserver observer;
    private final Map<Placement.Send, InFlightAttempt> prepared = new IdentityHashMap<>();
    private final Map<Placement.Send, InFlightAttempt> inFlight = new IdentityHashMap<>();
    /**
     * Attempts without a first event, roughly in the order in which they become overdue. Ended ones are removed
     * lazily.
     */
    private final ArrayDeque<InFlightAttempt> awaitingFirstEvent = new ArrayDeque<>();

    InFlightAttempts(
            PlannerSettings settings,
            PrefixCacheIndex index,
            KvTransferPlanner transfers,
            AttemptHistory history,
            AttemptObserver observer) {
        this.settings = settings;
        this.observer = observer;
        this.index = index;
        this.transfers = transfers;
        this.history = history;
    }

    /** Adds an attempt that was planned and may be sent. */
    void prepare(Placement.Send send, InFlightAttempt attempt) {
        if (prepared.size() >= MAX_PREPARED) {
            prepared.clear();
        }
        prepared.put(send, attempt);
    }

    void onSent(RouteRequest request, Placement.Send send, long nowNanos) {
        InFlightAttempt attempt = prepared.remove(send);
        if (attempt == null) {
            return;
        }
        attempt.onSent(request, nowNanos);
        if (send.cacheSalt() != null) {
            index.expectCached(attempt.instance().id(), send.cacheSalt(), request.segments(), nowNanos);
        }
        if (send.kvSave() != null) {
            transfers.onSaveRequested(send.kvSave(), request, send.cacheSalt(), nowNanos);
        }
        RetryPolicy.countSend(attempt.service().budget(), history.of(request.id()), attempt.attemptNumber(), nowNanos);
        inFlight.put(send, attempt);
        awaitingFirstEvent.add(attempt);
    }

    /**
     * Evaluates attempts whose first event is overdue, because the first events of an overloaded instance arrive too
     * late to learn from.
     */
    void checkOverdue(long nowNanos) {
        for (InFlightAttempt next = awaitingFirstEvent.peek(); next != null; next = awaitingFirstEvent.peek()) {
            if (next.awaitsFirstEvent()) {
                if (!next.isOverdue(nowNanos)) {
                    return;
                }
                learnFromMissingFirstEvent(next, nowNanos);
            }
            awaitingFirstEvent.poll();
        }
    }

    private void learnFromMissingFirstEvent(InFlightAttempt attempt, long nowNanos) {
        double waitedNanos = nowNanos - attempt.sentNanos() - attempt.uncontendedNanos();
        attempt.instance().load().onStillWaiting(waitedNanos, nowNanos);
        if (attempt.isCacheMiss()) {
            attempt.onMissReported();
            attempt.service().admission().onOutcome(attempt.sentNanos(), 1, false, nowNanos);
        }
        attempt.postponeOverdue(nowNanos);
        awaitingFirstEvent.add(attempt);
    }

    void onFirstEvent(RouteRequest request, Placement.Send send, ServerLoad reportedLoad, long nowNanos) {
        InFlightAttempt attempt = inFlight.get(send);
        if (attempt == null || !attempt.awaitsFirstEvent()) {
            return;
        }
        attempt.onFirstEvent(nowNanos);
        TrackedInstance instance = attempt.instance();
        double elapsedNanos = nowNanos - attempt.sentNanos();
        double lateNanos = elapsedNanos - attempt.uncontendedNanos();
        double othersWaitedNanos = instance.load().waitNanos(nowNanos);
        double waitedNanos = Math.max(0, lateNanos);
        instance.load().onWaited(waitedNanos, nowNanos);
        if (attempt.isCacheMiss()) {
            double targetNanos = Math.max(1, request.route().targetLatencyMillis() * 1e6);
            attempt.service().admission().onOutcome(attempt.sentNanos(), waitedNanos / targetNanos, true, nowNanos);
        }
        if (send.kvSave() != null) {
            transfers.onSaveDue(send.kvSave(), nowNanos);
        }
        if (send.kvFetch() != null) {
            learnTransferTime(attempt, send.kvFetch(), lateNanos - othersWaitedNanos, nowNanos);
        } else if (attempt.instanceWasIdle()) {
            instance.speed().onFirstEvent(attempt.tokensToPrefill(), elapsedNanos);
        }
        if (reportedLoad != null) {
            applyReportedLoad(attempt, reportedLoad, nowNanos);
        }
        if (send.cacheSalt() != null) {
            index.confirm(instance.id(), send.cacheSalt(), request.segments(), nowNanos);
        }
    }

    /**
     * Learns from a transfer that was not delayed by other prompts of this router. For the source, only the lateness
     * beyond the time to prefill the tokens counts, as after a transfer that delivered nothing.
     */
    private void learnTransferTime(InFlightAttempt attempt, String address, double lateNanos, long nowNanos) {
        if (attempt.instanceWasIdle()) {
            double prefillNanos = attempt.instance().speed().prefillNanos(attempt.tokensToTransfer());
            transfers.onTransferEnded(address, lateNanos - prefillNanos, nowNanos);
            attempt.instance().transferSpeed().onTransferEnded(attempt.transferNanos(), lateNanos, nowNanos);
        }
    }

    void onEnded(
            RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad reportedLoad, long nowNanos) {
        InFlightAttempt attempt = inFlight.remove(send);
        if (attempt == null) {
            return;
        }
        boolean hadFirstEvent = attempt.onEnded();
        TrackedInstance instance = attempt.instance();
        if (reportedLoad != null && !hadFirstEvent) {
            applyReportedLoad(attempt, reportedLoad, nowNanos);
        }
        instance.load().onEnded(attempt.memoryTokens());
        if (outcome.certainlyNotExecuted()) {
            instance.load().withdraw(attempt.tokensToPrefill());
            if (send.cacheSalt() != null) {
                index.withdrawExpected(instance.id(), send.cacheSalt(), request.segments());
            }
        }
        if (outcome == AttemptOutcome.ANSWERED) {
            instance.speed().onAnswered(nowNanos - attempt.sentNanos());
        }
        if (attempt.isCacheMiss() && !hadFirstEvent) {
            reportMissOutcome(request, attempt, outcome, nowNanos);
        }
        boolean versionCorrected = outcome == AttemptOutcome.MISDIRECTED && correctVersion(request, attempt);
        // A misdirection because of a wrong version was this router's fault: the instance is healthy and may be tried
        // again.
        instance.health()
                .onEnded(
                        versionCorrected ? AttemptOutcome.CANCELLED : outcome,
                        attempt.isTrial(),
                        attempt.sentNanos(),
                        nowNanos);
        history.onEnded(request.id(), versionCorrected ? null : instance.id(), outcome);
        boolean sameZone =
                settings.distance(settings.zone(), instance.announcement().zone()) <= 1;
        observer.onEnded(attempt.observed(request, send, sameZone, outcome, nowNanos));
    }

    /** Applies the load reported in the head of a response that has just arrived. */
    private static void applyReportedLoad(InFlightAttempt attempt, ServerLoad reportedLoad, long nowNanos) {
        InstanceLoad load = attempt.instance().load();
        load.onLoadReported(
                reportedLoad,
                load.ownRequests(),
                load.ownPrefilling(),
                attempt.service().meanPrefillTokens(),
                attempt.instance().speed(),
                nowNanos);
    }

    /**
     * Whether a wrong weights version explains a misdirected attempt. If no response has corrected the version yet, it
     * is reset to the announced one.
     */
    private static boolean correctVersion(RouteRequest request, InFlightAttempt attempt) {
        TrackedInstance instance = attempt.instance();
        if (instance.version(request.model()) == attempt.versionAtPlanning()) {
            instance.resetToAnnouncedVersion(request.model());
        }
        return instance.version(request.model()) != attempt.versionAtPlanning();
    }

    /**
     * Reports to admission control a cache miss that ended without a first event. Its offer is taken back if it did
     * not reach an instance.
     */
    private static void reportMissOutcome(
            RouteRequest request, InFlightAttempt attempt, AttemptOutcome outcome, long nowNanos) {
        long elapsedNanos = nowNanos - attempt.sentNanos();
        boolean missedTarget = elapsedNanos > request.route().targetLatencyMillis() * 1_000_000L;
        switch (outcome) {
            case ANSWERED -> attempt.service().admission().onOutcome(attempt.sentNanos(), 0, true, nowNanos);
            case NOT_CONNECTED, MISDIRECTED -> attempt.service().admission().withdraw(request, elapsedNanos);
            case CANCELLED -> {
                if (missedTarget) {
                    attempt.service().admission().onOutcome(attempt.sentNanos(), 1, false, nowNanos);
                }
            }
            default -> attempt.service().admission().onOutcome(attempt.sentNanos(), 1, false, nowNanos);
        }
    }
}
