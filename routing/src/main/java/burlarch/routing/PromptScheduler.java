package burlarch.routing;

import burlarch.routing.RouteRequest.PromptPart;
import burlarch.routing.index.PromptIndex;
import java.util.Arrays;
import java.util.List;

/**
 * Weighs engines for a prompt: what they keep of it, what they have to read first, their memory. A request
 * whose shared parts no engine keeps goes to its engine by rendezvous, so that all routers build one copy.
 */
final class PromptScheduler {
    private final PlannerSettings settings;
    private final PromptIndex index;
    private final Moves moves;
    private final Choice choice = new Choice();
    private int[] kept = new int[16];
    /** Tokens that anyone keeps or reads just now under the salt of each candidate. */
    private int[] known = new int[16];
    /** Those of them that can be moved: what is only just being read can not. */
    private int[] movable = new int[16];

    private long[] salted = new long[16];
    private double[] predicted = new double[16];
    private double[] cost = new double[16];

    PromptScheduler(PlannerSettings settings, PromptIndex index, Moves moves) {
        this.settings = settings;
        this.index = index;
        this.moves = moves;
    }

    /** The best of the candidates, of which there is at least one. */
    Choice choose(RouteRequest request, ServiceState service, List<Engine> candidates, Salts salts, long nowNanos) {
        int size = candidates.size();
        ensureRoom(size);
        List<PromptPart> parts = request.parts();
        int shared = sharedTokens(parts);
        int best = 0;
        for (int i = 0; i < size; i++) {
            kept[i] = parts.isEmpty() ? 0 : keptTokens(candidates.get(i), salts, parts, nowNanos);
            best = Math.max(best, kept[i]);
        }
        int known = lookUpKnown(candidates, salts, parts, nowNanos);
        for (int i = 0; i < size; i++) {
            weigh(request, service, candidates.get(i), i, nowNanos);
        }
        boolean fetch = shared - Math.min(best, shared) >= CostModel.FETCH_TOKENS;
        int chosen = fetch ? byRendezvous(placementKey(request, known), candidates) : cheapest(size);
        choice.engine = candidates.get(chosen);
        choice.kept = kept[chosen];
        choice.predictedNanos = predicted[chosen];
        choice.fetch = fetch;
        return choice;
    }

    /** Fills in what anyone keeps under each candidate's salt, and returns the most of it. */
    private int lookUpKnown(List<Engine> candidates, Salts salts, List<PromptPart> parts, long nowNanos) {
        int most = 0;
        int size = parts.isEmpty() ? 0 : candidates.size();
        Arrays.fill(known, 0, candidates.size(), 0);
        Arrays.fill(movable, 0, candidates.size(), 0);
        for (int i = 0; i < size; i++) {
            salted[i] = salts.hash(candidates.get(i));
            int before = 0;
            while (salted[before] != salted[i]) {
                before++;
            }
            if (before == i) {
                movable[i] = moves.storedTokens(salted[i], parts, nowNanos);
            }
            int confirmed = kept[i] == 0
                    ? 0
                    : Math.min(kept[i], index.confirmedPrefixTokens(candidates.get(i).id, salted[i], parts, nowNanos));
            movable[before] = Math.max(movable[before], confirmed);
            known[before] = Math.max(known[before], Math.max(kept[i], movable[before]));
            most = Math.max(most, known[before]);
        }
        for (int i = 0; i < size; i++) {
            int first = 0;
            while (salted[first] != salted[i]) {
                first++;
            }
            known[i] = known[first];
            movable[i] = movable[first];
        }
        return most;
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
        int sum = parts.isEmpty()
                ? 0
                : sharedTokens(parts) + parts.get(parts.size() - 1).tokens();
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

    private void weigh(RouteRequest request, ServiceState service, Engine engine, int i, long nowNanos) {
        int missing = Math.max(0, movable[i] - kept[i]);
        double readMissing = engine.speed.readNanos(missing);
        double move = missing < CostModel.MOVE_TOKENS
                ? Double.MAX_VALUE
                : CostModel.moveNanos(
                        missing, service.tokenBytes(), service.linkMbps(), 2, engine.moves.slowness(nowNanos));
        boolean moves = CostModel.movePays(move, readMissing, CostModel.aimLeftNanos(request, nowNanos));
        int toRead = Math.max(0, promptTokens(request) - kept[i] - (moves ? missing : 0));
        double memory = memoryWait(request, service, engine, kept[i], nowNanos);
        double first = engine.speed.baseNanos()
                + queueNanos(engine, nowNanos)
                + memory
                + engine.speed.readNanos(toRead)
                + (moves ? move : 0);
        predicted[i] = engine.isWarmingUp() ? first * CostModel.WARM_UP : first;
        int again = known[i] - (moves ? Math.max(kept[i], movable[i]) : kept[i]);
        double waste = engine.speed.readNanos(again) * (CostModel.REREAD_WEIGHT - 1)
                + (moves ? move * (CostModel.MOVE_WEIGHT - 1) : 0);
        cost[i] = CostModel.firstEventCost(predicted[i], CostModel.aimLeftNanos(request, nowNanos))
                + waste
                + memory * CostModel.MEMORY_WEIGHT
                + engine.load.requests(nowNanos) * CostModel.RUNNING_NANOS
                + (settings.distance(settings.zone(), engine.instance().zone()) > 1 ? CostModel.OTHER_ZONE_NANOS : 0);
    }

    private static double queueNanos(Engine engine, long nowNanos) {
        EngineLoad load = engine.load;
        double ahead = Math.max(0, load.requests(nowNanos) + 1 - load.slots());
        double reading = engine.speed.readNanos(load.backlogTokens(engine.speed, nowNanos));
        return reading
                + Math.max(engine.reading.waitNanos(nowNanos), load.waitNanos(nowNanos))
                + engine.speed.serviceNanos() * ahead / load.slots();
    }

    /** Running requests free memory evenly over the time that one takes. */
    private static double memoryWait(
            RouteRequest request, ServiceState service, Engine engine, int keptThere, long nowNanos) {
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

    /** Highest weight among engines that cost not far more than the best: routers mostly agree on one. */
    private int byRendezvous(long key, List<Engine> candidates) {
        int size = candidates.size();
        double least = cost[cheapest(size)];
        int chosen = -1;
        long highest = 0;
        for (int i = 0; i < size; i++) {
            long weight = Rendezvous.weight(key, candidates.get(i).idHash);
            if (cost[i] <= least + CostModel.RENDEZVOUS_SLACK_NANOS
                    && (chosen < 0 || Long.compareUnsigned(weight, highest) > 0)) {
                chosen = i;
                highest = weight;
            }
        }
        return chosen;
    }

    /**
     * Model, wall and the first shared part that nobody keeps, whatever the weights: a part that is not there
     * yet is read by one engine only, and a new version leaves prompts in place.
     */
    static long placementKey(RouteRequest request, int known) {
        List<PromptPart> parts = request.parts();
        long part = 0;
        int end = 0;
        for (int i = 0; i < parts.size() - 1 && (i == 0 || end - known < CostModel.FETCH_TOKENS); i++) {
            part = parts.get(i).id();
            end += parts.get(i).tokens();
        }
        String salt = CacheSalt.of(request.model(), 1, request.tenant(), "");
        return CacheSalt.key(CacheSalt.hash(salt), part);
    }

    private void ensureRoom(int size) {
        if (kept.length < size) {
            kept = new int[size * 2];
            known = new int[size * 2];
            movable = new int[size * 2];
            salted = new long[size * 2];
            predicted = new double[size * 2];
            cost = new double[size * 2];
        }
    }
}
