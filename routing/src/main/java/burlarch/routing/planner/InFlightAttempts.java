package burlarch.routing.planner;

import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.ServerLoad;
import burlarch.routing.index.PrefixCacheIndex;
import burlarch.routing.instance.Engine;
import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.Map;

/** The attempts that are out, and what their ends teach. A placement is known by its identity. */
final class InFlightAttempts {
    /** Placements that were made and not sent yet; callers send at once, so more than a few are lost ones. */
    private static final int MAX_PREPARED = 256;
    /** Part of the aim, beyond what a request alone needs, after which its silence tells of a queue. */
    private static final double OVERDUE_FRACTION_OF_TARGET = 0.4;

    private final PrefixCacheIndex index;
    private final KvTransferPlanner transfers;
    private final AttemptHistory history;
    private final Map<Placement.Send, InFlightAttempt> prepared = new IdentityHashMap<>();
    private final Map<Placement.Send, InFlightAttempt> inFlight = new IdentityHashMap<>();
    /** Flights whose first event is awaited, about in the order in which they get overdue. */
    private final ArrayDeque<InFlightAttempt> awaitingFirstEvent = new ArrayDeque<>();

    InFlightAttempts(PrefixCacheIndex index, KvTransferPlanner moves, AttemptHistory history) {
        this.index = index;
        this.transfers = moves;
        this.history = history;
    }

    void prepare(Placement.Send send, InFlightAttempt flight) {
        if (prepared.size() >= MAX_PREPARED) {
            prepared.clear();
        }
        prepared.put(send, flight);
    }

    void onSent(RouteRequest request, Placement.Send send, long nowNanos) {
        InFlightAttempt flight = prepared.remove(send);
        if (flight == null) {
            return;
        }
        Engine engine = flight.engine;
        flight.sentNanos = nowNanos;
        flight.trial = engine.health.onSent();
        flight.engineWasIdle = engine.load.backlogTokens(engine.speed, nowNanos) < 1;
        engine.load.onSent(flight.tokensToPrefill, flight.memoryTokens, engine.speed, nowNanos);
        flight.service.onSent(flight);
        if (send.cacheSalt() != null) {
            index.expectCached(engine.id, send.cacheSalt(), request.segments(), nowNanos);
        }
        if (send.kvSave() != null) {
            transfers.onSaved(send.kvSave(), request, send.cacheSalt(), nowNanos);
        }
        AttemptHistory.PreviousAttempts tried = history.of(request.id());
        if (tried.count() == 0) {
            flight.service.budget.onFirstSend(nowNanos);
        } else if (tried.possiblyReceived() > 0) {
            flight.service.budget.onRetry(nowNanos);
        }
        inFlight.put(send, flight);
        flight.overdueNanos = nowNanos
                + (long) (flight.expectedUncontendedNanos()
                        + OVERDUE_FRACTION_OF_TARGET * request.route().targetLatencyMillis() * 1e6);
        awaitingFirstEvent.add(flight);
    }

    /** Learns from silence: an overloaded engine's first events come too late to learn from. */
    void checkOverdue(long nowNanos) {
        for (InFlightAttempt next = awaitingFirstEvent.peek(); next != null; next = awaitingFirstEvent.peek()) {
            if (!next.hasBegun() && !next.hasEnded) {
                if (nowNanos - next.overdueNanos < 0) {
                    return;
                }
                learnFromMissingFirstEvent(next, nowNanos);
            }
            awaitingFirstEvent.poll();
        }
    }

    private void learnFromMissingFirstEvent(InFlightAttempt flight, long nowNanos) {
        flight.engine.load.onStillWaiting(nowNanos - flight.sentNanos - flight.expectedUncontendedNanos(), nowNanos);
        if (flight.fetch) {
            flight.fetch = false;
            flight.service.admission.onOutcome(flight.sentNanos, 1, false, nowNanos);
        }
        flight.overdueNanos = nowNanos + (nowNanos - flight.sentNanos) / 2;
        awaitingFirstEvent.add(flight);
    }

    void onFirstEvent(RouteRequest request, Placement.Send send, long nowNanos) {
        InFlightAttempt flight = inFlight.get(send);
        if (flight == null || flight.hasBegun()) {
            return;
        }
        Engine engine = flight.engine;
        flight.firstEventNanos = nowNanos;
        flight.ownInFlightAtFirstEvent = engine.load.ownRequests();
        engine.load.onPrefilled(flight.tokensToPrefill);
        flight.ownPrefillingAtFirstEvent = engine.load.ownPrefilling();
        engine.health.onResponse();
        double elapsed = nowNanos - flight.sentNanos;
        double waited = Math.max(0, elapsed - flight.expectedUncontendedNanos());
        double othersWaited = engine.load.waitNanos(nowNanos);
        engine.load.onWaited(waited, nowNanos);
        if (flight.fetch) {
            double aim = Math.max(1, request.route().targetLatencyMillis() * 1e6);
            double strain = waited / aim;
            flight.service.admission.onOutcome(flight.sentNanos, strain, true, nowNanos);
        }
        if (send.kvSave() != null) {
            transfers.onSaveDue(send.kvSave(), nowNanos);
        }
        if (send.kvFetch() != null) {
            learnTransferTime(
                    flight, send.kvFetch(), elapsed - flight.expectedUncontendedNanos() - othersWaited, nowNanos);
        } else if (flight.engineWasIdle) {
            engine.speed.onFirstEvent(flight.tokensToPrefill, elapsed);
        }
        if (send.cacheSalt() != null) {
            index.confirm(engine.id, send.cacheSalt(), request.segments(), nowNanos);
        }
    }

    /** Lateness beyond reading what should have come is not explained by a source that lacked it. */
    private void learnTransferTime(InFlightAttempt flight, String address, double late, long nowNanos) {
        if (flight.engineWasIdle) {
            transfers.onTransferEnded(
                    address, late - flight.engine.speed.prefillNanos(flight.tokensToTransfer), nowNanos);
            flight.engine.transferSpeed.onTransferEnded(flight.transferNanos, late, nowNanos);
        }
    }

    void onEnded(
            RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad reportedLoad, long nowNanos) {
        InFlightAttempt flight = inFlight.remove(send);
        if (flight == null) {
            return;
        }
        flight.hasEnded = true;
        Engine engine = flight.engine;
        if (!flight.hasBegun()) {
            engine.load.onPrefilled(flight.tokensToPrefill);
        }
        if (reportedLoad != null) {
            boolean begun = flight.hasBegun();
            engine.load.onLoadReported(
                    reportedLoad,
                    begun ? flight.ownInFlightAtFirstEvent : engine.load.ownRequests(),
                    begun ? flight.ownPrefillingAtFirstEvent : engine.load.ownPrefilling(),
                    flight.service.meanPrefillTokens(),
                    engine.speed,
                    begun ? flight.firstEventNanos : nowNanos);
        }
        engine.load.onEnded(flight.memoryTokens);
        if (outcome.neverRan()) {
            engine.load.withdraw(flight.tokensToPrefill);
            if (send.cacheSalt() != null) {
                index.withdrawExpected(engine.id, send.cacheSalt(), request.segments());
            }
        }
        if (outcome == AttemptOutcome.ANSWERED) {
            engine.speed.onAnswered(nowNanos - flight.sentNanos);
        }
        reportToAdmission(request, flight, outcome, nowNanos);
        boolean corrected = outcome == AttemptOutcome.MISDIRECTED && correctVersion(request, flight);
        engine.health.onEnded(corrected ? AttemptOutcome.CANCELLED : outcome, flight.trial, flight.sentNanos, nowNanos);
        history.onEnded(request.id(), corrected ? null : engine.id, outcome);
    }

    /** Whether a 421 came of a wrong belief about the weights, which is mended now. */
    private static boolean correctVersion(RouteRequest request, InFlightAttempt flight) {
        if (flight.engine.version(request.model()) == flight.versionAtSend) {
            flight.engine.distrustVersion(request.model());
        }
        return flight.engine.version(request.model()) != flight.versionAtSend;
    }

    /** A first event has taught already. What never arrived takes its offer back. */
    private static void reportToAdmission(
            RouteRequest request, InFlightAttempt flight, AttemptOutcome outcome, long nowNanos) {
        if (!flight.fetch || flight.hasBegun()) {
            return;
        }
        long elapsed = nowNanos - flight.sentNanos;
        boolean late = elapsed > request.route().targetLatencyMillis() * 1_000_000L;
        switch (outcome) {
            case ANSWERED -> flight.service.admission.onOutcome(flight.sentNanos, 0, true, nowNanos);
            case NOT_CONNECTED, MISDIRECTED -> flight.service.admission.withdraw(request, elapsed);
            case CANCELLED -> {
                if (late) {
                    flight.service.admission.onOutcome(flight.sentNanos, 1, false, nowNanos);
                }
            }
            default -> flight.service.admission.onOutcome(flight.sentNanos, 1, false, nowNanos);
        }
    }
}
