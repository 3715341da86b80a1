package burlarch.routing.planner;

import burlarch.routing.PlannerSettings;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.index.PrefixCacheIndex;
import burlarch.routing.instance.Engine;
import burlarch.routing.instance.EngineLoad;
import java.util.Arrays;
import java.util.List;

/**
 * Schedules requests with a prompt: compares engines by what they cache of it, by what they have to prefill
 * before, and by their memory. A fetch, a request whose shared segments no engine caches, goes to the engine
 * that rendezvous hashing assigns to its segments, see {@link FetchPlacement}.
 *
 * <p>The arrays hold a value for each candidate of the current call, by its index; they are reused.
 */
final class PromptScheduler {
    /** Factor by which a transfer's distance is assumed while its source is not chosen: within the region. */
    private static final double ASSUMED_DISTANCE = 2;

    private static final double MAX_MEMORY_WAITS = 2;

    private final PlannerSettings settings;
    private final PrefixCacheIndex index;
    private final KvTransferPlanner transfers;
    private final FetchPlacement fetches = new FetchPlacement();
    private final SchedulingChoice choice = new SchedulingChoice();
    /** Tokens of the prompt that the candidate caches. */
    private int[] cachedTokens = new int[16];
    /** Tokens of the prompt that anyone caches or is prefilling under the salt of the candidate. */
    private int[] knownTokens = new int[16];
    /** Those of them that can be transferred: what is still being prefilled cannot. */
    private int[] transferableTokens = new int[16];

    private long[] saltHashes = new long[16];
    private double[] predictedNanos = new double[16];
    private double[] costs = new double[16];
    /** A transfer of common segments is paid once, and serves all later requests at that engine. */
    private double[] costsWithoutTransfer = new double[16];

    PromptScheduler(PlannerSettings settings, PrefixCacheIndex index, KvTransferPlanner transfers) {
        this.settings = settings;
        this.index = index;
        this.transfers = transfers;
    }

    /**
     * Chooses the best of the candidates, which must not be empty.
     *
     * @param liveRouters number of live routers, this one included
     */
    SchedulingChoice choose(
            RouteRequest request,
            ServiceState service,
            List<Engine> candidates,
            RequestCacheSalt salts,
            int liveRouters,
            long nowNanos) {
        int size = candidates.size();
        ensureCapacity(size);
        List<PromptSegment> segments = request.segments();
        int shared = request.sharedTokens();
        int mostCached = 0;
        for (int i = 0; i < size; i++) {
            cachedTokens[i] = segments.isEmpty() ? 0 : cachedTokensOf(candidates.get(i), salts, segments, nowNanos);
            mostCached = Math.max(mostCached, cachedTokens[i]);
        }
        int known = lookUpKnownTokens(candidates, salts, segments, nowNanos);
        for (int i = 0; i < size; i++) {
            estimateCost(request, service, candidates.get(i), i, nowNanos);
            if (salts.isSuperseded(candidates.get(i))) {
                costs[i] += CostModel.SUPERSEDED_WEIGHTS_NANOS;
                costsWithoutTransfer[i] += CostModel.SUPERSEDED_WEIGHTS_NANOS;
            }
        }
        boolean fetch = shared - Math.min(mostCached, shared) >= CostModel.MIN_FETCH_TOKENS;
        int chosen = cheapest(size);
        if (fetch) {
            chosen = fetches.choose(request, known, candidates, costsWithoutTransfer, liveRouters);
        }
        choice.set(candidates.get(chosen), predictedNanos[chosen], cachedTokens[chosen], fetch);
        return choice;
    }

    private int cachedTokensOf(Engine engine, RequestCacheSalt salts, List<PromptSegment> segments, long nowNanos) {
        int tokens = index.cachedPrefixTokens(engine.id(), salts.hash(engine), segments, nowNanos);
        return index.isUncertain(engine.id()) ? (int) (tokens * CostModel.UNCERTAIN_FACTOR) : tokens;
    }

    /**
     * Fills in what anyone caches under each candidate's salt, and returns the most of it. Candidates of one
     * salt have the same values: they are collected at the first of them, and copied to the others.
     */
    private int lookUpKnownTokens(
            List<Engine> candidates, RequestCacheSalt salts, List<PromptSegment> segments, long nowNanos) {
        int mostKnown = 0;
        int size = segments.isEmpty() ? 0 : candidates.size();
        Arrays.fill(knownTokens, 0, candidates.size(), 0);
        Arrays.fill(transferableTokens, 0, candidates.size(), 0);
        for (int i = 0; i < size; i++) {
            saltHashes[i] = salts.hash(candidates.get(i));
            int first = firstOfSameSalt(i);
            if (first == i && !salts.isSuperseded(candidates.get(i))) {
                transferableTokens[i] = transfers.storedPrefixTokens(saltHashes[i], segments, nowNanos);
            }
            int confirmed = cachedTokens[i] == 0
                    ? 0
                    : Math.min(
                            cachedTokens[i],
                            index.confirmedPrefixTokens(candidates.get(i).id(), saltHashes[i], segments, nowNanos));
            transferableTokens[first] = Math.max(transferableTokens[first], confirmed);
            knownTokens[first] = Math.max(knownTokens[first], Math.max(cachedTokens[i], transferableTokens[first]));
            mostKnown = Math.max(mostKnown, knownTokens[first]);
        }
        for (int i = 0; i < size; i++) {
            int first = firstOfSameSalt(i);
            knownTokens[i] = knownTokens[first];
            transferableTokens[i] = transferableTokens[first];
        }
        return mostKnown;
    }

    private int firstOfSameSalt(int i) {
        int first = 0;
        while (saltHashes[first] != saltHashes[i]) {
            first++;
        }
        return first;
    }

    /** Sets the expected time to the first event and the cost of candidate {@code i}. */
    private void estimateCost(RouteRequest request, ServiceState service, Engine engine, int i, long nowNanos) {
        int cached = cachedTokens[i];
        int missing = Math.max(0, transferableTokens[i] - cached);
        double transferNanos = missing < CostModel.MIN_TRANSFER_TOKENS
                ? Double.MAX_VALUE
                : CostModel.transferNanos(
                        missing,
                        service.tokenBytes(),
                        service.linkMbps(),
                        ASSUMED_DISTANCE,
                        engine.transferSpeed().slowness(nowNanos));
        long targetLeftNanos = request.latencyTargetLeftNanos(nowNanos);
        boolean transferPays =
                CostModel.isTransferWorthwhile(transferNanos, engine.speed().prefillNanos(missing), targetLeftNanos);
        int tokensToPrefill = Math.max(0, request.totalPromptTokens() - cached - (transferPays ? missing : 0));
        double memoryWaitNanos = memoryWaitNanos(request, service, engine, cached, nowNanos);
        double firstEventNanos = engine.speed().baseNanos()
                + queueNanos(engine, nowNanos)
                + memoryWaitNanos
                + engine.speed().prefillNanos(tokensToPrefill)
                + (transferPays ? transferNanos : 0);
        predictedNanos[i] = engine.isWarmingUp() ? firstEventNanos * CostModel.WARM_UP_FACTOR : firstEventNanos;
        int redundantTokens = knownTokens[i] - (transferPays ? Math.max(cached, transferableTokens[i]) : cached);
        double wasteNanos = engine.speed().prefillNanos(redundantTokens) * (CostModel.REDUNDANT_PREFILL_WEIGHT - 1)
                + (transferPays ? transferNanos * (CostModel.TRANSFER_WEIGHT - 1) : 0);
        costs[i] = CostModel.firstEventCost(predictedNanos[i], targetLeftNanos)
                + wasteNanos
                + memoryWaitNanos * CostModel.MEMORY_WEIGHT
                + engine.load().requests(nowNanos) * CostModel.RUNNING_REQUEST_NANOS
                + CostModel.subsetNanos(engine.subsetDistance())
                + (settings.distance(settings.zone(), engine.instance().zone()) > 1 ? CostModel.OTHER_ZONE_NANOS : 0);
        costsWithoutTransfer[i] = costs[i] - (transferPays ? transferNanos * CostModel.TRANSFER_WEIGHT : 0);
    }

    private static double queueNanos(Engine engine, long nowNanos) {
        EngineLoad load = engine.load();
        double ahead = Math.max(0, load.requests(nowNanos) + 1 - load.slots());
        double backlogNanos = engine.speed().prefillNanos(load.backlogTokens(engine.speed(), nowNanos));
        return backlogNanos
                + Math.max(engine.prefillLoad().waitNanos(nowNanos), load.waitNanos(nowNanos))
                + engine.speed().serviceNanos() * ahead / load.slots();
    }

    /** Expected wait for memory, as running requests release it evenly over the time that one takes. */
    private static double memoryWaitNanos(
            RouteRequest request, ServiceState service, Engine engine, int cached, long nowNanos) {
        double usedTokens = engine.load().memoryTokens(service.meanMemoryTokens(), nowNanos);
        double lackingTokens = usedTokens + CostModel.memoryTokens(request, cached) - service.kvCapacity();
        if (service.kvCapacity() <= 0 || lackingTokens <= 0 || usedTokens <= 0) {
            return 0;
        }
        return Math.min(MAX_MEMORY_WAITS, lackingTokens / usedTokens)
                * engine.speed().serviceNanos();
    }

    private int cheapest(int size) {
        int best = 0;
        for (int i = 1; i < size; i++) {
            best = costs[i] < costs[best] ? i : best;
        }
        return best;
    }

    private void ensureCapacity(int size) {
        if (cachedTokens.length < size) {
            cachedTokens = new int[size * 2];
            knownTokens = new int[size * 2];
            transferableTokens = new int[size * 2];
            saltHashes = new long[size * 2];
            predictedNanos = new double[size * 2];
            costs = new double[size * 2];
            costsWithoutTransfer = new double[size * 2];
        }
    }
}
