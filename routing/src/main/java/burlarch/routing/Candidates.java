package burlarch.routing;

import java.util.ArrayList;
import java.util.List;

/** Which instances of a service may get an attempt. */
final class Candidates {
    /** Part of a service that doubts may take out, unless nothing connects there. */
    private static final double MOST_EJECTED = 0.5;

    private final List<Engine> usable = new ArrayList<>();
    private final List<Engine> doubted = new ArrayList<>();

    /** The instances for this attempt; the list is reused by the next call. Empty where none is ready. */
    List<Engine> of(
            ServiceState service, RouteRequest request, AttemptHistory.Tried tried, long graceNanos, long nowNanos) {
        long least = request.model() == null ? 0 : service.leastVersion(request.model(), graceNanos, nowNanos);
        collect(service, request, tried, least, nowNanos);
        if (usable.isEmpty() && least > 0) {
            // The new weights are nowhere: what brings them is broken, and serving goes on.
            collect(service, request, tried, 0, nowNanos);
        }
        return usable;
    }

    private void collect(
            ServiceState service, RouteRequest request, AttemptHistory.Tried tried, long least, long nowNanos) {
        usable.clear();
        doubted.clear();
        for (int i = 0; i < service.engines.size(); i++) {
            Engine engine = service.engines.get(i);
            if (!engine.isReady()
                    || tried.contains(engine.id)
                    || !engine.serves(request.model())
                    || least > 0 && isBehind(engine, request.model(), least)) {
                continue;
            }
            boolean out = engine.health.ejected(nowNanos) || engine.health.resting(nowNanos);
            (out ? doubted : usable).add(engine);
        }
        int enough = (int) Math.ceil((usable.size() + doubted.size()) * MOST_EJECTED);
        readmit(enough, false);
        if (usable.isEmpty()) {
            readmit(1, true);
        }
    }

    private static boolean isBehind(Engine engine, String model, long least) {
        long version = engine.version(model);
        return version > 0 && version < least;
    }

    private void readmit(int enough, boolean unreachableToo) {
        while (usable.size() < enough) {
            Engine next = null;
            for (int i = 0; i < doubted.size(); i++) {
                Engine engine = doubted.get(i);
                if ((unreachableToo || !engine.health.unreachable())
                        && (next == null || engine.health.outUntilNanos() - next.health.outUntilNanos() < 0)) {
                    next = engine;
                }
            }
            if (next == null) {
                return;
            }
            doubted.remove(next);
            usable.add(next);
        }
    }
}
