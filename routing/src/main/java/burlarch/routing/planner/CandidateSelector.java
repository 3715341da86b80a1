package burlarch.routing.planner;

import burlarch.routing.RouteRequest;
import burlarch.routing.instance.TrackedInstance;
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

    private final List<TrackedInstance> usable = new ArrayList<>();
    private final List<TrackedInstance> unavailable = new ArrayList<>();

    /**
     * Returns the candidates for an attempt, empty if no instance is ready. The next call reuses the list.
     *
     * @param graceNanos time after which instances with older weights than the newest known ones are excluded
     */
    List<TrackedInstance> select(
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
        List<TrackedInstance> instances = service.instances();
        for (int i = 0; i < instances.size(); i++) {
            TrackedInstance instance = instances.get(i);
            if (!instance.isReady()
                    || previous.contains(instance.id())
                    || !instance.serves(request.model())
                    || minVersion > 0 && isOutdated(instance, request.model(), minVersion)) {
                continue;
            }
            boolean isUnavailable =
                    instance.health().isEjected(nowNanos) || instance.health().isCoolingDown(nowNanos);
            (isUnavailable ? unavailable : usable).add(instance);
        }
        int minUsable = (int) Math.ceil((usable.size() + unavailable.size()) * MAX_EJECTED_FRACTION);
        for (TrackedInstance next = earliestReachable();
                next != null && usable.size() < minUsable;
                next = earliestReachable()) {
            readmit(next);
        }
        TrackedInstance lastResort = usable.isEmpty() ? earliestAvailable() : null;
        if (lastResort != null) {
            readmit(lastResort);
        }
    }

    /** Whether an instance has a version older than {@code minVersion}. An unknown version is not outdated. */
    private static boolean isOutdated(TrackedInstance instance, String model, long minVersion) {
        long version = instance.version(model);
        return version > 0 && version < minVersion;
    }

    private void readmit(TrackedInstance instance) {
        unavailable.remove(instance);
        usable.add(instance);
    }

    /** Returns the unavailable instance that is available again first, null if there is none. */
    private TrackedInstance earliestAvailable() {
        TrackedInstance earliest = null;
        for (int i = 0; i < unavailable.size(); i++) {
            earliest = earlier(earliest, unavailable.get(i));
        }
        return earliest;
    }

    /** As {@link #earliestAvailable}, without instances to which no connection can be established. */
    private TrackedInstance earliestReachable() {
        TrackedInstance earliest = null;
        for (int i = 0; i < unavailable.size(); i++) {
            if (!unavailable.get(i).health().isUnreachable()) {
                earliest = earlier(earliest, unavailable.get(i));
            }
        }
        return earliest;
    }

    private static TrackedInstance earlier(TrackedInstance earliest, TrackedInstance other) {
        return earliest == null
                        || other.health().unavailableUntilNanos()
                                        - earliest.health().unavailableUntilNanos()
                                < 0
                ? other
                : earliest;
    }
}
