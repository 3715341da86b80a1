package burlarch.routing;

import burlarch.routing.RouteRequest.PromptPart;
import burlarch.routing.index.PromptIndex;
import java.util.List;

/**
 * Weighs engines for a prompt: what they keep of it, what they have to read first, their memory. A request
 * whose shared parts no engine keeps goes to its engine by rendezvous, so that all routers build one copy.
 */
final class PromptScheduler {
    private final PlannerSettings settings;
    private final PromptIndex index;
    private final Choice choice = new Choice();
    private int[] kept = new int[16];
    private double[] predicted = new double[16];
    private double[] cost = new double[16];

    PromptScheduler(PlannerSettings settings, PromptIndex index) {
        this.settings = settings;
        this.index = index;
    }

    /** The best of the candidates, of which there is at least one. */
    Choice choose(RouteRequest request, ServiceState service, List<Engine> candidates, Salts salts,
            long nowNanos) {
        int size = candidates.size();
        ensureRoom(size);
        List<PromptPart> parts = request.parts();
        int shared = sharedTokens(parts);
        int best = 0;
        for (int i = 0; i < size; i++) {
            kept[i] = parts.isEmpty() ? 0 : keptTokens(candidates.get(i), salts, parts, nowNanos);
            best = Math.max(best, kept[i]);
        }
        for (int i = 0; i < size; i++) {
            weigh(request, service, candidates.get(i), i, best, nowNanos);
        }
        boolean fetch = shared - Math.min(best, shared) >= CostModel.FETCH_TOKENS;
        int chosen = fetch ? byRendezvous(request, candidates) : cheapest(size);
        choice.engine = candidates.get(chosen);
        choice.kept = kept[chosen];
        choice.predictedNanos = predicted[chosen];
        choice.fetch = fetch;
        return choice;
    }

    /** Tokens of all parts but the last, which is the request's or its session's own. */
    static int sharedTokens(List<PromptPart> parts) {
        int sum = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            sum += parts.get(i).tokens();
        }
        return sum;
    }

    static int promptTokens(RouteRequest request) {
        List<PromptPart> parts = request.parts();
        int sum = parts.isEmpty() ? 0 : sharedTokens(parts) + parts.get(parts.size() - 1).tokens();
        return Math.max(sum, request.promptTokens());
    }

    /** Memory that the request takes while it runs, beyond what it shares with others. */
    static double memoryTokens(RouteRequest request, int keptThere) {
        int prompt = promptTokens(request);
        int shares = Math.min(keptThere, prompt);
        return prompt - shares * CostModel.KEPT_SHARE + request.maxOutputTokens() * CostModel.OUTPUT_SHARE;
    }

    private int keptTokens(Engine engine, Salts salts, List<PromptPart> parts, long nowNanos) {
        int tokens = index.keptPrefixTokens(engine.id, salts.hash(engine), parts, nowNanos);
        return index.isUncertain(engine.id) ? (int) (tokens * CostModel.UNCERTAIN) : tokens;
    }

    private void weigh(RouteRequest request, ServiceState service, Engine engine, int i, int best,
            long nowNanos) {
        int missing = Math.max(0, best - kept[i]);
        double readMissing = engine.speed.readNanos(missing);
        double move = missing < CostModel.MOVE_TOKENS ? Double.MAX_VALUE : CostModel.moveNanos(missing,
                service.tokenBytes(), service.linkMbps(), 2, service.slowness(nowNanos));
        boolean moves = move < CostModel.MOVE_GAIN * readMissing;
        int toRead = Math.max(0, promptTokens(request) - kept[i] - (moves ? missing : 0));
        double memory = memoryWait(request, service, engine, kept[i], nowNanos);
        double first = engine.speed.baseNanos() + queueNanos(engine, nowNanos) + memory
                + engine.speed.readNanos(toRead) + (moves ? move : 0);
        predicted[i] = engine.isWarmingUp() ? first * CostModel.WARM_UP : first;
        double waste = moves ? move * (CostModel.MOVE_WEIGHT - 1)
                : readMissing * (CostModel.REREAD_WEIGHT - 1);
        cost[i] = CostModel.firstEventCost(predicted[i], CostModel.aimLeftNanos(request, nowNanos)) + waste
                + memory * CostModel.MEMORY_WEIGHT
                + engine.load.requests(nowNanos) * CostModel.RUNNING_NANOS
                + (settings.distance(settings.zone(), engine.instance().zone()) > 1
                        ? CostModel.OTHER_ZONE_NANOS : 0);
    }

    private static double queueNanos(Engine engine, long nowNanos) {
        EngineLoad load = engine.load;
        double ahead = Math.max(0, load.requests(nowNanos) + 1 - load.slots());
        double reading = engine.speed.readNanos(load.backlogTokens(engine.speed, nowNanos));
        return Math.max(reading, load.waitNanos(nowNanos))
                + engine.speed.serviceNanos() * ahead / load.slots();
    }

    /** Running requests free memory evenly over the time that one takes. */
    private static double memoryWait(RouteRequest request, ServiceState service, Engine engine,
            int keptThere, long nowNanos) {
        double used = engine.load.memoryTokens(service.meanMemoryTokens(), nowNanos);
        double over = used + memoryTokens(request, keptThere) - service.kvCapacity();
        if (service.kvCapacity() <= 0 || over <= 0 || used <= 0) {
            return 0;
        }
        return Math.min(2, over / used) * engine.speed.serviceNanos();
    }

    private int cheapest(int size) {
        int best = 0;
        for (int i = 1; i < size; i++) {
            best = cost[i] < cost[best] ? i : best;
        }
        return best;
    }

    /** Highest weight among engines that are not far slower than the best: routers mostly agree on one. */
    private int byRendezvous(RouteRequest request, List<Engine> candidates) {
        int size = candidates.size();
        double bestFirst = Double.MAX_VALUE;
        for (int i = 0; i < size; i++) {
            bestFirst = Math.min(bestFirst, predicted[i]);
        }
        long key = placementKey(request);
        int chosen = -1;
        long highest = 0;
        for (int i = 0; i < size; i++) {
            long weight = Rendezvous.weight(key, candidates.get(i).idHash);
            if (predicted[i] <= bestFirst + CostModel.RENDEZVOUS_SLACK_NANOS
                    && (chosen < 0 || Long.compareUnsigned(weight, highest) > 0)) {
                chosen = i;
                highest = weight;
            }
        }
        return chosen;
    }

    /** Model, wall and last shared part, whatever the weights: a new version leaves prompts in place. */
    static long placementKey(RouteRequest request) {
        List<PromptPart> parts = request.parts();
        long part = parts.size() < 2 ? 0 : parts.get(parts.size() - 2).id();
        String salt = CacheSalt.of(request.model(), 1, request.tenant(), "");
        return CacheSalt.key(CacheSalt.hash(salt), part);
    }

    private void ensureRoom(int size) {
        if (kept.length < size) {
            kept = new int[size * 2];
            predicted = new double[size * 2];
            cost = new double[size * 2];
        }
    }
}
