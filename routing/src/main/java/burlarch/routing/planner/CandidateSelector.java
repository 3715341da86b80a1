package burlarch.routing.planner;

import burlarch.routing.RouteRequest;
import burlarch.routing.instance.Engine;
import java.util.ArrayList;
import java.util.List;

/**
 * Selects the instances of a service that may receive an attempt: those that are ready, serve the model, have
 * not failed this request, do not have outdated weights, and are neither ejected nor resting.
 *
 * <p>Invariant <em>ejection bound</em>: ejection removes at most half of the instances that remain by the
 * other conditions, except those that cannot be reached. If all are ejected, the one whose ejection ends first
 * receives the attempt, reachable or not.
 */
final class CandidateSelector {
    private static final double MAX_EJECTED_FRACTION = 0.5;

    private final List<Engine> usable = new ArrayList<>();
    private final List<Engine> ejected = new ArrayList<>();

    /**
     * The candidates for an attempt, empty if no instance is ready. The list is reused by the next call.
     *
     * @param graceNanos after which instances with older weights than the newest known ones are excluded
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
            // No instance has the new weights: their distribution has failed, and old weights serve on.
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
        ejected.clear();
        List<Engine> engines = service.engines();
        for (int i = 0; i < engines.size(); i++) {
            Engine engine = engines.get(i);
            if (!engine.isReady()
                    || previous.contains(engine.id())
                    || !engine.serves(request.model())
                    || minVersion > 0 && isOutdated(engine, request.model(), minVersion)) {
                continue;
            }
            boolean unavailable =
                    engine.health().isEjected(nowNanos) || engine.health().isResting(nowNanos);
            (unavailable ? ejected : usable).add(engine);
        }
        int enough = (int) Math.ceil((usable.size() + ejected.size()) * MAX_EJECTED_FRACTION);
        for (Engine next = firstReachable(); next != null && usable.size() < enough; next = firstReachable()) {
            readmit(next);
        }
        Engine last = usable.isEmpty() ? firstToReturn() : null;
        if (last != null) {
            readmit(last);
        }
    }

    /** An instance of unknown version is not outdated. */
    private static boolean isOutdated(Engine engine, String model, long minVersion) {
        long version = engine.version(model);
        return version > 0 && version < minVersion;
    }

    private void readmit(Engine engine) {
        ejected.remove(engine);
        usable.add(engine);
    }

    /** The ejected engine whose ejection ends first, null if there is none. */
    private Engine firstToReturn() {
        Engine first = null;
        for (int i = 0; i < ejected.size(); i++) {
            first = earlier(first, ejected.get(i));
        }
        return first;
    }

    /** As {@link #firstToReturn}, without those to which no connection can be established. */
    private Engine firstReachable() {
        Engine first = null;
        for (int i = 0; i < ejected.size(); i++) {
            if (!ejected.get(i).health().isUnreachable()) {
                first = earlier(first, ejected.get(i));
            }
        }
        return first;
    }

    private static Engine earlier(Engine first, Engine other) {
        return first == null
                        || other.health().unavailableUntilNanos()
                                        - first.health().unavailableUntilNanos()
                                < 0
                ? other
                : first;
    }
}
