package burlarch.routing.planner;

import burlarch.routing.PlannerSettings;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import burlarch.routing.instance.Engine;
import burlarch.routing.instance.EngineLoad;
import java.util.List;

/** Schedules requests without a cached prompt: to the instance that is expected to respond first. */
final class PlainScheduler {
    /**
     * Candidates that are compared for a request. If routers compared all, those with the same view would all
     * choose the same instance.
     */
    private static final int SAMPLED_CANDIDATES = 6;
    /** Fraction by which the hash of a request changes a cost, to break ties differently for each request. */
    private static final double NOISE = 0.08;

    private final PlannerSettings settings;
    private final SchedulingChoice choice = new SchedulingChoice();

    PlainScheduler(PlannerSettings settings) {
        this.settings = settings;
    }

    /** Chooses the best of a sample of the candidates, which must not be empty. */
    SchedulingChoice choose(RouteRequest request, List<Engine> candidates, long nowNanos) {
        long hash = RendezvousHash.hash(request.id());
        int size = candidates.size();
        int start = (int) Long.remainderUnsigned(hash, size);
        double lowestCost = Double.MAX_VALUE;
        for (int i = 0; i < Math.min(size, SAMPLED_CANDIDATES); i++) {
            Engine engine = candidates.get((start + i) % size);
            double predictedNanos = predictedNanos(engine, nowNanos);
            double noise = (RendezvousHash.weight(hash, engine.idHash()) >>> 40) * 0x1.0p-24;
            double cost = cost(engine, predictedNanos, nowNanos) * (1 + NOISE * noise);
            if (cost < lowestCost) {
                lowestCost = cost;
                choice.set(engine, predictedNanos);
            }
        }
        return choice;
    }

    private static double predictedNanos(Engine engine, long nowNanos) {
        EngineLoad load = engine.load();
        double ahead = Math.max(0, load.requests(nowNanos) + 1 - load.slots());
        return engine.speed().serviceNanos() * (1 + ahead / load.slots());
    }

    /** Servers slow down as they fill, so slots in use count even while others are free. */
    private double cost(Engine engine, double predictedNanos, long nowNanos) {
        double utilization = engine.load().requests(nowNanos) / engine.load().slots();
        double zoneNanos =
                settings.distance(settings.zone(), engine.instance().zone()) > 1 ? CostModel.OTHER_ZONE_NANOS : 0;
        double queue = engine.load().hasQueue(nowNanos) ? 1 : 0;
        return predictedNanos * (1 + utilization + queue) + zoneNanos;
    }
}
