package burlarch.routing;

import burlarch.routing.index.PromptIndex;
import java.util.ArrayDeque;
import java.util.IdentityHashMap;
import java.util.Map;

/** The attempts that are out, and what their ends teach. A placement is known by its identity. */
final class FlightLog {
    /** Placements that were made and not sent yet; callers send at once, so more than a few are lost ones. */
    private static final int MOST_PREPARED = 256;
    /** Part of the aim, beyond what a request alone needs, after which its silence tells of a queue. */
    private static final double PATIENCE = 0.4;

    private final PromptIndex index;
    private final Moves moves;
    private final AttemptHistory history;
    private final Map<Placement.Send, Flight> prepared = new IdentityHashMap<>();
    private final Map<Placement.Send, Flight> out = new IdentityHashMap<>();
    /** Flights whose first event is awaited, about in the order in which they get overdue. */
    private final ArrayDeque<Flight> awaited = new ArrayDeque<>();

    FlightLog(PromptIndex index, Moves moves, AttemptHistory history) {
        this.index = index;
        this.moves = moves;
        this.history = history;
    }

    void prepare(Placement.Send send, Flight flight) {
        if (prepared.size() >= MOST_PREPARED) {
            prepared.clear();
        }
        prepared.put(send, flight);
    }

    void onSent(RouteRequest request, Placement.Send send, long nowNanos) {
        Flight flight = prepared.remove(send);
        if (flight == null) {
            return;
        }
        Engine engine = flight.engine;
        flight.sentNanos = nowNanos;
        flight.trial = engine.health.onSent();
        flight.alone = engine.load.backlogTokens(engine.speed, nowNanos) < 1;
        engine.load.onSent(flight.tokensToRead, flight.memoryTokens, engine.speed, nowNanos);
        flight.service.onSent(flight);
        if (send.cacheSalt() != null) {
            index.expect(engine.id, send.cacheSalt(), request.parts(), nowNanos);
        }
        if (send.kvSave() != null) {
            moves.onSaved(send.kvSave(), request, send.cacheSalt(), nowNanos);
        }
        AttemptHistory.Tried tried = history.of(request.id());
        if (tried.count() == 0) {
            flight.service.budget.onFirst(nowNanos);
        } else if (tried.arrived() > 0) {
            flight.service.budget.onFurther(nowNanos);
        }
        out.put(send, flight);
        flight.overdueNanos = nowNanos
                + (long) (flight.ownNanos() + PATIENCE * request.route().targetLatencyMillis() * 1e6);
        awaited.add(flight);
    }

    /** Learns from silence: an overloaded engine's first events come too late to learn from. */
    void lookAtOverdue(long nowNanos) {
        for (Flight next = awaited.peek(); next != null; next = awaited.peek()) {
            if (!next.hasBegun() && !next.hasEnded) {
                if (nowNanos - next.overdueNanos < 0) {
                    return;
                }
                learnSilence(next, nowNanos);
            }
            awaited.poll();
        }
    }

    private void learnSilence(Flight flight, long nowNanos) {
        flight.engine.load.onWaitsStill(nowNanos - flight.sentNanos - flight.ownNanos(), nowNanos);
        if (flight.fetch) {
            flight.fetch = false;
            flight.service.admission.onOutcome(flight.sentNanos, 1, false, nowNanos);
        }
        flight.overdueNanos = nowNanos + (nowNanos - flight.sentNanos) / 2;
        awaited.add(flight);
    }

    void onFirstEvent(RouteRequest request, Placement.Send send, long nowNanos) {
        Flight flight = out.get(send);
        if (flight == null || flight.hasBegun()) {
            return;
        }
        Engine engine = flight.engine;
        flight.firstNanos = nowNanos;
        flight.oursAtFirst = engine.load.inFlight();
        engine.load.onRead(flight.tokensToRead);
        flight.unreadAtFirst = engine.load.unread();
        engine.health.onAlive();
        double elapsed = nowNanos - flight.sentNanos;
        double waited = Math.max(0, elapsed - flight.ownNanos());
        double othersWaited = engine.load.waitNanos(nowNanos);
        engine.load.onWaited(waited, nowNanos);
        if (flight.fetch) {
            double aim = Math.max(1, request.route().targetLatencyMillis() * 1e6);
            double strain = waited / aim;
            flight.service.admission.onOutcome(flight.sentNanos, strain, true, nowNanos);
        }
        if (send.kvSave() != null) {
            moves.onSaveDue(send.kvSave(), nowNanos);
        }
        if (send.kvFetch() != null) {
            learnMove(flight, send.kvFetch(), elapsed - flight.ownNanos() - othersWaited, nowNanos);
        } else if (flight.alone) {
            engine.speed.onFirstEvent(flight.tokensToRead, elapsed);
        }
        if (send.cacheSalt() != null) {
            index.confirm(engine.id, send.cacheSalt(), request.parts(), nowNanos);
        }
    }

    /** Lateness beyond reading what should have come is not explained by a source that lacked it. */
    private void learnMove(Flight flight, String address, double late, long nowNanos) {
        if (flight.alone) {
            moves.onMoved(address, late - flight.engine.speed.readNanos(flight.tokensToMove), nowNanos);
            flight.engine.moves.onMoved(flight.moveNanos, late, nowNanos);
        }
    }

    void onEnded(RouteRequest request, Placement.Send send, AttemptOutcome outcome, ServerLoad told, long nowNanos) {
        Flight flight = out.remove(send);
        if (flight == null) {
            return;
        }
        flight.hasEnded = true;
        Engine engine = flight.engine;
        if (!flight.hasBegun()) {
            engine.load.onRead(flight.tokensToRead);
        }
        if (told != null) {
            boolean begun = flight.hasBegun();
            engine.load.onTold(
                    told,
                    begun ? flight.oursAtFirst : engine.load.inFlight(),
                    begun ? flight.unreadAtFirst : engine.load.unread(),
                    flight.service.meanTokensToRead(),
                    engine.speed,
                    begun ? flight.firstNanos : nowNanos);
        }
        engine.load.onEnded(flight.memoryTokens);
        if (outcome.neverRan()) {
            engine.load.withdraw(flight.tokensToRead);
            if (send.cacheSalt() != null) {
                index.withdraw(engine.id, send.cacheSalt(), request.parts());
            }
        }
        if (outcome == AttemptOutcome.ANSWERED) {
            engine.speed.onAnswered(nowNanos - flight.sentNanos);
        }
        teachThrottle(request, flight, outcome, nowNanos);
        boolean corrected = outcome == AttemptOutcome.MISDIRECTED && correctVersion(request, flight);
        engine.health.onEnded(corrected ? AttemptOutcome.CANCELLED : outcome, flight.trial, flight.sentNanos, nowNanos);
        history.onEnded(request.id(), corrected ? null : engine.id, outcome);
    }

    /** Whether a 421 came of a wrong belief about the weights, which is mended now. */
    private static boolean correctVersion(RouteRequest request, Flight flight) {
        if (flight.engine.version(request.model()) == flight.versionThen) {
            flight.engine.distrustVersion(request.model());
        }
        return flight.engine.version(request.model()) != flight.versionThen;
    }

    /** A first event has taught already. What never arrived takes its offer back. */
    private static void teachThrottle(RouteRequest request, Flight flight, AttemptOutcome outcome, long nowNanos) {
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
