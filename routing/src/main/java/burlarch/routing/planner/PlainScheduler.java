package burlarch.routing.planner;

import burlarch.routing.PlannerSettings;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import burlarch.routing.instance.Engine;
import burlarch.routing.instance.EngineLoad;
import java.util.List;

/** Spreads requests that share nothing: to the server that is expected to answer first. */
final class PlainScheduler {
    /** Servers that are looked at. All routers that know the same would else meet at the same one. */
    private static final int SAMPLED_CANDIDATES = 6;
    /** How much the hash of a request moves a cost: breaks ties differently for each. */
    private static final double NOISE = 0.08;

    private final PlannerSettings settings;
    private final SchedulingChoice choice = new SchedulingChoice();

    PlainScheduler(PlannerSettings settings) {
        this.settings = settings;
    }

    /** The best of some of the candidates, of which there is at least one. */
    SchedulingChoice choose(RouteRequest request, List<Engine> candidates, long nowNanos) {
        long hash = RendezvousHash.hash(request.id());
        int size = candidates.size();
        int start = (int) Long.remainderUnsigned(hash, size);
        double best = Double.MAX_VALUE;
        for (int i = 0; i < Math.min(size, SAMPLED_CANDIDATES); i++) {
            Engine engine = candidates.get((start + i) % size);
            double predicted = predictedNanos(engine, nowNanos);
            double noise = (RendezvousHash.weight(hash, engine.idHash) >>> 40) * 0x1.0p-24;
            double cost = cost(engine, predicted, nowNanos) * (1 + NOISE * noise);
            if (cost < best) {
                best = cost;
                choice.engine = engine;
                choice.predictedNanos = predicted;
            }
        }
        choice.cachedTokens = 0;
        choice.fetch = false;
        return choice;
    }

    private static double predictedNanos(Engine engine, long nowNanos) {
        EngineLoad load = engine.load;
        double ahead = Math.max(0, load.requests(nowNanos) + 1 - load.slots());
        return engine.speed.serviceNanos() * (1 + ahead / load.slots());
    }

    /** Servers slow down as they fill: places taken count before the last one is. */
    private double cost(Engine engine, double predicted, long nowNanos) {
        double taken = engine.load.requests(nowNanos) / engine.load.slots();
        double zone = settings.distance(settings.zone(), engine.instance().zone()) > 1 ? CostModel.OTHER_ZONE_NANOS : 0;
        double queue = engine.load.hasQueue(nowNanos) ? 1 : 0;
        return predicted * (1 + taken + queue) + zone;
    }
}
