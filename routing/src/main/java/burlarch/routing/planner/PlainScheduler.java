package burlarch.routing.planner;

import burlarch.routing.PlannerSettings;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import burlarch.routing.instance.InstanceLoad;
import burlarch.routing.instance.TrackedInstance;
import java.util.List;

/** Scheduler for requests without a cached prompt: chooses the instance that is expected to respond first. */
final class PlainScheduler {
    /**
     * Number of candidates that are compared for a request. If all were compared, routers with the same view would all
     * choose the same instance.
     */
    private static final int SAMPLED_CANDIDATES = 6;
    /** Maximum fraction by which the hash of a request raises a cost, to break ties differently for each request. */
    private static final double NOISE_FRACTION = 0.08;

    private final PlannerSettings settings;
    private final SchedulingChoice choice = new SchedulingChoice();

    PlainScheduler(PlannerSettings settings) {
        this.settings = settings;
    }

    /** Chooses the best of a sample of the candidates, which must not be empty. */
    SchedulingChoice choose(RouteRequest request, List<TrackedInstance> candidates, long nowNanos) {
        long hash = RendezvousHash.hash(request.id());
        int size = candidates.size();
        int startIndex = (int) Long.remainderUnsigned(hash, size);
        double lowestCost = Double.MAX_VALUE;
        for (int i = 0; i < Math.min(size, SAMPLED_CANDIDATES); i++) {
            TrackedInstance instance = candidates.get((startIndex + i) % size);
            double predictedNanos = predictedNanos(instance, nowNanos);
            double noise = (RendezvousHash.weight(hash, instance.idHash()) >>> 40) * 0x1.0p-24;
            double cost = cost(instance, predictedNanos, nowNanos) * (1 + NOISE_FRACTION * noise);
            if (cost < lowestCost) {
                lowestCost = cost;
                choice.set(instance, predictedNanos);
            }
        }
        return choice;
    }

    private static double predictedNanos(TrackedInstance instance, long nowNanos) {
        InstanceLoad load = instance.load();
        double requestsAhead = Math.max(0, load.requests(nowNanos) + 1 - load.slots());
        return instance.speed().responseNanos() * (1 + requestsAhead / load.slots());
    }

    /**
     * Returns the cost of an instance. Slots in use count even if others are free, because servers slow down as they
     * fill.
     */
    private double cost(TrackedInstance instance, double predictedNanos, long nowNanos) {
        double utilization =
                instance.load().requests(nowNanos) / instance.load().slots();
        double zoneNanos =
                settings.distance(settings.zone(), instance.announcement().zone()) > 1 ? CostModel.OTHER_ZONE_NANOS : 0;
        double queuePenalty = instance.load().hasQueue(nowNanos) ? 1 : 0;
        return predictedNanos * (1 + utilization + queuePenalty) + zoneNanos;
    }
}
