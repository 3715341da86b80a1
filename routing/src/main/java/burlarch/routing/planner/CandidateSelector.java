package burlarch.routing.planner;

import burlarch.routing.RouteRequest;
import burlarch.routing.instance.Engine;
import java.util.ArrayList;
import java.util.List;

/** Which instances of a service may get an attempt. */
final class CandidateSelector {
    /** Part of a service that doubts may take out, unless nothing connects there. */
    private static final double MAX_EJECTED_FRACTION = 0.5;

    private final List<Engine> usable = new ArrayList<>();
    private final List<Engine> ejected = new ArrayList<>();

    /** The instances for this attempt; the list is reused by the next call. Empty where none is ready. */
    List<Engine> of(
            ServiceState service,
            RouteRequest request,
            AttemptHistory.PreviousAttempts tried,
            long graceNanos,
            long nowNanos) {
        long least = request.model() == null ? 0 : service.minVersion(request.model(), graceNanos, nowNanos);
        collect(service, request, tried, least, nowNanos);
        if (usable.isEmpty() && least > 0) {
            // The new weights are nowhere: what brings them is broken, and serving goes on.
            collect(service, request, tried, 0, nowNanos);
        }
        return usable;
    }

    private void collect(
            ServiceState service,
            RouteRequest request,
            AttemptHistory.PreviousAttempts tried,
            long minVersion,
            long nowNanos) {
        usable.clear();
        ejected.clear();
        for (int i = 0; i < service.engines.size(); i++) {
            Engine engine = service.engines.get(i);
            if (!engine.isReady()
                    || tried.contains(engine.id)
                    || !engine.serves(request.model())
                    || minVersion > 0 && isBehind(engine, request.model(), minVersion)) {
                continue;
            }
            boolean out = engine.health.isEjected(nowNanos) || engine.health.isResting(nowNanos);
            (out ? ejected : usable).add(engine);
        }
        int enough = (int) Math.ceil((usable.size() + ejected.size()) * MAX_EJECTED_FRACTION);
        readmit(enough, false);
        if (usable.isEmpty()) {
            readmit(1, true);
        }
    }

    private static boolean isBehind(Engine engine, String model, long minVersion) {
        long version = engine.version(model);
        return version > 0 && version < minVersion;
    }

    private void readmit(int enough, boolean includeUnreachable) {
        while (usable.size() < enough) {
            Engine next = null;
            for (int i = 0; i < ejected.size(); i++) {
                Engine engine = ejected.get(i);
                if ((includeUnreachable || !engine.health.isUnreachable())
                        && (next == null
                                || engine.health.unavailableUntilNanos() - next.health.unavailableUntilNanos() < 0)) {
                    next = engine;
                }
            }
            if (next == null) {
                return;
            }
            ejected.remove(next);
            usable.add(next);
        }
    }
}
