package burlarch.routing.planner;

import burlarch.routing.CacheSalt;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.index.PrefixCacheIndex;
import burlarch.routing.instance.Engine;
import burlarch.routing.instance.EngineLoad;
import java.util.Arrays;
import java.util.List;

/**
 * Weighs engines for a prompt: what they keep of it, what they have to read first, their memory. A request
 * whose shared parts no engine keeps goes to its engine by rendezvous, so that all routers build one copy.
 */
final class PromptScheduler {
    private final PlannerSettings settings;
    private final PrefixCacheIndex index;
    private final KvTransferPlanner transfers;
    private final SchedulingChoice choice = new SchedulingChoice();
    private int[] cachedTokens = new int[16];
    /** Tokens that anyone keeps or reads just now under the salt of each candidate. */
    private int[] knownTokens = new int[16];
    /** Those of them that can be moved: what is only just being read can not. */
    private int[] transferableTokens = new int[16];

    private long[] saltHashes = new long[16];
    private double[] predictedNanos = new double[16];
    private double[] costs = new double[16];

    PromptScheduler(PlannerSettings settings, PrefixCacheIndex index, KvTransferPlanner moves) {
        this.settings = settings;
        this.index = index;
        this.transfers = moves;
    }

    /** The best of the candidates, of which there is at least one. */
    SchedulingChoice choose(
            RouteRequest request,
            ServiceState service,
            List<Engine> candidates,
            RequestCacheSalt salts,
            long nowNanos) {
        int size = candidates.size();
        ensureRoom(size);
        List<PromptSegment> parts = request.segments();
        int shared = sharedTokens(parts);
        int best = 0;
        for (int i = 0; i < size; i++) {
            cachedTokens[i] = parts.isEmpty() ? 0 : cachedTokensOf(candidates.get(i), salts, parts, nowNanos);
            best = Math.max(best, cachedTokens[i]);
        }
        int known = lookUpKnownTokens(candidates, salts, parts, nowNanos);
        for (int i = 0; i < size; i++) {
            estimateCost(request, service, candidates.get(i), i, nowNanos);
        }
        boolean fetch = shared - Math.min(best, shared) >= CostModel.MIN_FETCH_TOKENS;
        int chosen = fetch ? chooseByRendezvous(placementKey(request, known), candidates) : cheapest(size);
        choice.engine = candidates.get(chosen);
        choice.cachedTokens = cachedTokens[chosen];
        choice.predictedNanos = predictedNanos[chosen];
        choice.fetch = fetch;
        return choice;
    }

    /** Fills in what anyone keeps under each candidate's salt, and returns the most of it. */
    private int lookUpKnownTokens(
            List<Engine> candidates, RequestCacheSalt salts, List<PromptSegment> parts, long nowNanos) {
        int most = 0;
        int size = parts.isEmpty() ? 0 : candidates.size();
        Arrays.fill(knownTokens, 0, candidates.size(), 0);
        Arrays.fill(transferableTokens, 0, candidates.size(), 0);
        for (int i = 0; i < size; i++) {
            saltHashes[i] = salts.hash(candidates.get(i));
            int before = 0;
            while (saltHashes[before] != saltHashes[i]) {
                before++;
            }
            if (before == i) {
                transferableTokens[i] = transfers.storedPrefixTokens(saltHashes[i], parts, nowNanos);
            }
            int confirmed = cachedTokens[i] == 0
                    ? 0
                    : Math.min(
                            cachedTokens[i],
                            index.confirmedPrefixTokens(candidates.get(i).id, saltHashes[i], parts, nowNanos));
            transferableTokens[before] = Math.max(transferableTokens[before], confirmed);
            knownTokens[before] = Math.max(knownTokens[before], Math.max(cachedTokens[i], transferableTokens[before]));
            most = Math.max(most, knownTokens[before]);
        }
        for (int i = 0; i < size; i++) {
            int first = 0;
            while (saltHashes[first] != saltHashes[i]) {
                first++;
            }
            knownTokens[i] = knownTokens[first];
            transferableTokens[i] = transferableTokens[first];
        }
        return most;
    }

    /** Tokens of all parts but the last, which is the request's or its session's own. */
    static int sharedTokens(List<PromptSegment> parts) {
        int sum = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            sum += parts.get(i).tokens();
        }
        return sum;
    }

    static int promptTokens(RouteRequest request) {
        List<PromptSegment> parts = request.segments();
        int sum = parts.isEmpty()
                ? 0
                : sharedTokens(parts) + parts.get(parts.size() - 1).tokens();
        return Math.max(sum, request.promptTokens());
    }

    /** Memory that the request takes while it runs, beyond what it shares with others. */
    static double memoryTokens(RouteRequest request, int keptThere) {
        int prompt = promptTokens(request);
        int shares = Math.min(keptThere, prompt);
        return prompt
                - shares * CostModel.CACHED_TOKENS_MEMORY_FRACTION
                + request.maxOutputTokens() * CostModel.EXPECTED_OUTPUT_FRACTION;
    }

    private int cachedTokensOf(Engine engine, RequestCacheSalt salts, List<PromptSegment> parts, long nowNanos) {
        int tokens = index.cachedPrefixTokens(engine.id, salts.hash(engine), parts, nowNanos);
        return index.isUncertain(engine.id) ? (int) (tokens * CostModel.UNCERTAIN_FACTOR) : tokens;
    }

    private void estimateCost(RouteRequest request, ServiceState service, Engine engine, int i, long nowNanos) {
        int missingTokens = Math.max(0, transferableTokens[i] - cachedTokens[i]);
        double prefillMissingNanos = engine.speed.prefillNanos(missingTokens);
        double transferNanos = missingTokens < CostModel.MIN_TRANSFER_TOKENS
                ? Double.MAX_VALUE
                : CostModel.transferNanos(
                        missingTokens,
                        service.tokenBytes(),
                        service.linkMbps(),
                        2,
                        engine.transferSpeed.slowness(nowNanos));
        boolean transferPays = CostModel.isTransferWorthwhile(
                transferNanos, prefillMissingNanos, CostModel.latencyTargetLeftNanos(request, nowNanos));
        int tokensToPrefill = Math.max(0, promptTokens(request) - cachedTokens[i] - (transferPays ? missingTokens : 0));
        double memoryWaitNanos = memoryWaitNanos(request, service, engine, cachedTokens[i], nowNanos);
        double firstEventNanos = engine.speed.baseNanos()
                + queueNanos(engine, nowNanos)
                + memoryWaitNanos
                + engine.speed.prefillNanos(tokensToPrefill)
                + (transferPays ? transferNanos : 0);
        predictedNanos[i] = engine.isWarmingUp() ? firstEventNanos * CostModel.WARM_UP_FACTOR : firstEventNanos;
        int redundantTokens =
                knownTokens[i] - (transferPays ? Math.max(cachedTokens[i], transferableTokens[i]) : cachedTokens[i]);
        double wasteNanos = engine.speed.prefillNanos(redundantTokens) * (CostModel.REDUNDANT_PREFILL_WEIGHT - 1)
                + (transferPays ? transferNanos * (CostModel.TRANSFER_WEIGHT - 1) : 0);
        costs[i] = CostModel.firstEventCost(predictedNanos[i], CostModel.latencyTargetLeftNanos(request, nowNanos))
                + wasteNanos
                + memoryWaitNanos * CostModel.MEMORY_WEIGHT
                + engine.load.requests(nowNanos) * CostModel.RUNNING_REQUEST_NANOS
                + (settings.distance(settings.zone(), engine.instance().zone()) > 1 ? CostModel.OTHER_ZONE_NANOS : 0);
    }

    private static double queueNanos(Engine engine, long nowNanos) {
        EngineLoad load = engine.load;
        double ahead = Math.max(0, load.requests(nowNanos) + 1 - load.slots());
        double reading = engine.speed.prefillNanos(load.backlogTokens(engine.speed, nowNanos));
        return reading
                + Math.max(engine.prefillLoad.waitNanos(nowNanos), load.waitNanos(nowNanos))
                + engine.speed.serviceNanos() * ahead / load.slots();
    }

    /** Running requests free memory evenly over the time that one takes. */
    private static double memoryWaitNanos(
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
            best = costs[i] < costs[best] ? i : best;
        }
        return best;
    }

    /** Highest weight among engines that cost not far more than the best: routers mostly agree on one. */
    private int chooseByRendezvous(long key, List<Engine> candidates) {
        int size = candidates.size();
        double least = costs[cheapest(size)];
        int chosen = -1;
        long highest = 0;
        for (int i = 0; i < size; i++) {
            long weight = RendezvousHash.weight(key, candidates.get(i).idHash);
            if (costs[i] <= least + CostModel.RENDEZVOUS_SLACK_NANOS
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
        List<PromptSegment> parts = request.segments();
        long part = 0;
        int end = 0;
        for (int i = 0; i < parts.size() - 1 && (i == 0 || end - known < CostModel.MIN_FETCH_TOKENS); i++) {
            part = parts.get(i).id();
            end += parts.get(i).tokens();
        }
        String salt = CacheSalt.of(request.model(), 1, request.tenant(), "");
        return CacheSalt.key(CacheSalt.hash(salt), part);
    }

    private void ensureRoom(int size) {
        if (cachedTokens.length < size) {
            cachedTokens = new int[size * 2];
            knownTokens = new int[size * 2];
            transferableTokens = new int[size * 2];
            saltHashes = new long[size * 2];
            predictedNanos = new double[size * 2];
            costs = new double[size * 2];
        }
    }
}
