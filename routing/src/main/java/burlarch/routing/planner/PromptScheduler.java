package burlarch.routing.planner;

import burlarch.routing.PlannerSettings;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.index.PrefixCacheIndex;
import burlarch.routing.instance.InstanceLoad;
import burlarch.routing.instance.TrackedInstance;
import java.util.Arrays;
import java.util.List;

/**
 * Scheduler for requests with a prompt: compares engines by how much of the prompt they cache, by the prefill work
 * queued there, and by their memory. A cache miss, a request whose shared segments no engine caches, is sent to the
 * engine that rendezvous hashing assigns to its segments, see {@link CacheMissPlacement}.
 *
 * <p>The arrays hold one value for each candidate of the current call, by its index. They are reused.
 */
final class PromptScheduler {
    /** Distance factor assumed for a transfer whose source is not chosen yet: within the region. */
    private static final double ASSUMED_TRANSFER_DISTANCE = 2;

    private static final double MAX_MEMORY_WAIT_RESPONSES = 2;

    private final PlannerSettings settings;
    private final PrefixCacheIndex index;
    private final KvTransferPlanner transfers;
    private final CacheMissPlacement missPlacement = new CacheMissPlacement();
    private final SchedulingChoice choice = new SchedulingChoice();
    /** Tokens of the prompt that each candidate caches. */
    private int[] cachedTokens = new int[16];
    /** Tokens of the prompt that any engine or store caches or is prefilling under the salt of the candidate. */
    private int[] knownTokens = new int[16];
    /** Known tokens that can be transferred; those that are still being prefilled cannot. */
    private int[] transferableTokens = new int[16];

    private long[] saltHashes = new long[16];
    private double[] predictedNanos = new double[16];
    private double[] costs = new double[16];
    /**
     * Costs without transfers: a transfer of common segments is paid once and serves all later requests at that
     * engine.
     */
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
            List<TrackedInstance> candidates,
            RequestCacheSalt salts,
            int liveRouters,
            long nowNanos) {
        int size = candidates.size();
        ensureCapacity(size);
        List<PromptSegment> segments = request.segments();
        int sharedTokens = request.sharedTokens();
        int maxCachedTokens = 0;
        for (int i = 0; i < size; i++) {
            cachedTokens[i] = segments.isEmpty() ? 0 : cachedTokensOf(candidates.get(i), salts, segments, nowNanos);
            maxCachedTokens = Math.max(maxCachedTokens, cachedTokens[i]);
        }
        int maxKnownTokens = lookUpKnownTokens(candidates, salts, segments, nowNanos);
        for (int i = 0; i < size; i++) {
            estimateCost(request, service, candidates.get(i), i, nowNanos);
            if (salts.isSuperseded(candidates.get(i))) {
                costs[i] += CostModel.SUPERSEDED_WEIGHTS_NANOS;
                costsWithoutTransfer[i] += CostModel.SUPERSEDED_WEIGHTS_NANOS;
            }
        }
        boolean cacheMiss = sharedTokens - Math.min(maxCachedTokens, sharedTokens) >= CostModel.MIN_MISS_TOKENS;
        int chosen = cheapest(size);
        if (cacheMiss) {
            chosen = missPlacement.choose(request, maxKnownTokens, candidates, costsWithoutTransfer, liveRouters);
        }
        choice.set(candidates.get(chosen), predictedNanos[chosen], cachedTokens[chosen], cacheMiss);
        return choice;
    }

    private int cachedTokensOf(
            TrackedInstance engine, RequestCacheSalt salts, List<PromptSegment> segments, long nowNanos) {
        int tokens = index.cachedPrefixTokens(engine.id(), salts.hash(engine), segments, nowNanos);
        return index.isUncertain(engine.id()) ? (int) (tokens * CostModel.UNCERTAIN_FACTOR) : tokens;
    }

    /**
     * Sets the known and transferable tokens of each candidate, and returns the maximum of the known ones. Candidates
     * with the same salt have the same values: they are computed at the first of them and copied to the others.
     */
    private int lookUpKnownTokens(
            List<TrackedInstance> candidates, RequestCacheSalt salts, List<PromptSegment> segments, long nowNanos) {
        int maxKnownTokens = 0;
        int size = segments.isEmpty() ? 0 : candidates.size();
        Arrays.fill(knownTokens, 0, candidates.size(), 0);
        Arrays.fill(transferableTokens, 0, candidates.size(), 0);
        for (int i = 0; i < size; i++) {
            saltHashes[i] = salts.hash(candidates.get(i));
            int first = firstOfSameSalt(i);
            if (first == i && !salts.isSuperseded(candidates.get(i))) {
                transferableTokens[i] = transfers.storedPrefixTokens(saltHashes[i], segments, nowNanos);
            }
            int confirmedTokens = cachedTokens[i] == 0
                    ? 0
                    : Math.min(
                            cachedTokens[i],
                            index.confirmedPrefixTokens(candidates.get(i).id(), saltHashes[i], segments, nowNanos));
            transferableTokens[first] = Math.max(transferableTokens[first], confirmedTokens);
            knownTokens[first] = Math.max(knownTokens[first], Math.max(cachedTokens[i], transferableTokens[first]));
            maxKnownTokens = Math.max(maxKnownTokens, knownTokens[first]);
        }
        for (int i = 0; i < size; i++) {
            int first = firstOfSameSalt(i);
            knownTokens[i] = knownTokens[first];
            transferableTokens[i] = transferableTokens[first];
        }
        return maxKnownTokens;
    }

    private int firstOfSameSalt(int i) {
        int first = 0;
        while (saltHashes[first] != saltHashes[i]) {
            first++;
        }
        return first;
    }

    /** Sets the expected time to the first event and the cost of candidate {@code i}. */
    private void estimateCost(
            RouteRequest request, ServiceState service, TrackedInstance engine, int i, long nowNanos) {
        int engineCachedTokens = cachedTokens[i];
        int missingTokens = Math.max(0, transferableTokens[i] - engineCachedTokens);
        double transferNanos = missingTokens < CostModel.MIN_TRANSFER_TOKENS
                ? Double.MAX_VALUE
                : CostModel.transferNanos(
                        missingTokens,
                        service.tokenBytes(),
                        service.linkMbps(),
                        ASSUMED_TRANSFER_DISTANCE,
                        engine.transferSpeed().slowdown(nowNanos));
        long targetLeftNanos = request.latencyTargetLeftNanos(nowNanos);
        boolean transferWorthwhile = CostModel.isTransferWorthwhile(
                transferNanos, engine.speed().prefillNanos(missingTokens), targetLeftNanos);
        int tokensToPrefill = Math.max(
                0, request.totalPromptTokens() - engineCachedTokens - (transferWorthwhile ? missingTokens : 0));
        double memoryWaitNanos = memoryWaitNanos(request, service, engine, engineCachedTokens, nowNanos);
        double firstEventNanos = engine.speed().baseNanos()
                + queueNanos(engine, nowNanos)
                + memoryWaitNanos
                + engine.speed().prefillNanos(tokensToPrefill)
                + (transferWorthwhile ? transferNanos : 0);
        predictedNanos[i] = engine.isWarmingUp() ? firstEventNanos * CostModel.WARM_UP_FACTOR : firstEventNanos;
        int redundantTokens = knownTokens[i]
                - (transferWorthwhile ? Math.max(engineCachedTokens, transferableTokens[i]) : engineCachedTokens);
        double redundantWorkNanos =
                engine.speed().prefillNanos(redundantTokens) * (CostModel.REDUNDANT_PREFILL_WEIGHT - 1)
                        + (transferWorthwhile ? transferNanos * (CostModel.TRANSFER_WEIGHT - 1) : 0);
        costs[i] = CostModel.firstEventCost(predictedNanos[i], targetLeftNanos)
                + redundantWorkNanos
                + memoryWaitNanos * CostModel.MEMORY_WEIGHT
                + engine.load().requests(nowNanos) * CostModel.RUNNING_REQUEST_NANOS
                + CostModel.subsetNanos(engine.subsetDistance())
                + (settings.distance(settings.zone(), engine.announcement().zone()) > 1
                        ? CostModel.OTHER_ZONE_NANOS
                        : 0);
        costsWithoutTransfer[i] = costs[i] - (transferWorthwhile ? transferNanos * CostModel.TRANSFER_WEIGHT : 0);
    }

    private static double queueNanos(TrackedInstance engine, long nowNanos) {
        InstanceLoad load = engine.load();
        double requestsAhead = Math.max(0, load.requests(nowNanos) + 1 - load.slots());
        double backlogNanos = engine.speed().prefillNanos(load.backlogTokens(engine.speed(), nowNanos));
        return backlogNanos
                + Math.max(engine.prefillLoad().waitNanos(nowNanos), load.waitNanos(nowNanos))
                + engine.speed().responseNanos() * requestsAhead / load.slots();
    }

    /**
     * Returns the expected wait for memory. Running requests are assumed to release it evenly over the response time.
     */
    private static double memoryWaitNanos(
            RouteRequest request, ServiceState service, TrackedInstance engine, int engineCachedTokens, long nowNanos) {
        double usedTokens = engine.load().memoryTokens(service.meanMemoryTokens(), nowNanos);
        double missingMemoryTokens =
                usedTokens + CostModel.memoryTokens(request, engineCachedTokens) - service.kvCapacity();
        if (service.kvCapacity() <= 0 || missingMemoryTokens <= 0 || usedTokens <= 0) {
            return 0;
        }
        return Math.min(MAX_MEMORY_WAIT_RESPONSES, missingMemoryTokens / usedTokens)
                * engine.speed().responseNanos();
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
