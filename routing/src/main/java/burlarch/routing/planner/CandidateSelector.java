package burlarch.routing.planner;

import burlarch.routing.RouteRequest;
import burlarch.routing.instance.Engine;
import java.util.ArrayList;
import java.util.List;

/**
 * Selects the instances of a service that may receive an attempt: those that are ready, serve the model, have not
 * failed this request, have no outdated weights, and are neither ejected nor cooling down.
 *
 * <p>Invariant <em>ejection bound</em>: ejection and cooldown remove at most half of the instances that meet the other
 * conditions, except that unreachable instances stay removed beyond that. If no instance is left, the one that is
 * available again first receives the attempt, reachable or not.
 */
final class CandidateSelector {
    private static final double MAX_EJECTED_FRACTION = 0.5;

    private final List<Engine> usable = new ArrayList<>();
    private final List<Engine> unavailable = new ArrayList<>();

    /**
     * Returns the candidates for an attempt, empty if no instance is ready. The next call reuses the list.
     *
     * @param graceNanos time after which instances with older weights than the newest known ones are excluded
     */
    List<Engine> select(
            ServiceState service,
            RouteRequest request,
            AttemptHistory.PreviousAttempts previous,
            long graceNanos,
            long nowNanos) {
        long minVersion = request.model() == null ? 0 : service.minVersion(request.model(), graceNanos, nowNanos);
        collect(service, request, previous, minVersion, nowNanos);
        if (usable.isEmpty() && minVersion > 0) {
            // No instance has the new weights: their distribution has failed, so instances with old weights are used.
            collect(service, request, previous, 0, nowNanos);
        }
        return usable;
    }

    private void collect(
            ServiceState service,
            RouteRequest request,
            AttemptHistory.PreviousAttempts previous,
            long minVersion,
            long nowNanos) {
        usable.clear();
        unavailable.clear();
        List<Engine> engines = service.engines();
        for (int i = 0; i < engines.size(); i++) {
            Engine engine = engines.get(i);
            if (!engine.isReady()
                    || previous.contains(engine.id())
                    || !engine.serves(request.model())
                    || minVersion > 0 && isOutdated(engine, request.model(), minVersion)) {
                continue;
            }
            boolean isUnavailable =
                    engine.health().isEjected(nowNanos) || engine.health().isCoolingDown(nowNanos);
            (isUnavailable ? unavailable : usable).add(engine);
        }
        int minUsable = (int) Math.ceil((usable.size() + unavailable.size()) * MAX_EJECTED_FRACTION);
        for (Engine next = earliestReachable(); next != null && usable.size() < minUsable; next = earliestReachable()) {
            readmit(next);
        }
        Engine lastResort = usable.isEmpty() ? earliestAvailable() : null;
        if (lastResort != null) {
            readmit(lastResort);
        }
    }

    /** Whether an instance has a version older than {@code minVersion}. An unknown version is not outdated. */
    private static boolean isOutdated(Engine engine, String model, long minVersion) {
        long version = engine.version(model);
        return version > 0 && version < minVersion;
    }

    private void readmit(Engine engine) {
        unavailable.remove(engine);
        usable.add(engine);
    }

    /** Returns the unavailable engine that is available again first, null if there is none. */
    private Engine earliestAvailable() {
        Engine earliest = null;
        for (int i = 0; i < unavailable.size(); i++) {
            earliest = earlier(earliest, unavailable.get(i));
        }
        return earliest;
    }

    /** As {@link #earliestAvailable}, without engines to which no connection can be established. */
    private Engine earliestReachable() {
        Engine earliest = null;
        for (int i = 0; i < unavailable.size(); i++) {
            if (!unavailable.get(i).health().isUnreachable()) {
                earliest = earlier(earliest, unavailable.get(i));
            }
        }
        return earliest;
    }

    private static Engine earlier(Engine earliest, Engine other) {
        return earliest == null
                        || other.health().unavailableUntilNanos()
                                        - earliest.health().unavailableUntilNanos()
                                < 0
                ? other
                : earliest;
    }
}
