package burlarch.routing.planner;

import burlarch.routing.CacheSalt;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.instance.TrackedInstance;
import java.util.Arrays;
import java.util.List;

/**
 * Places cache misses by rendezvous hashing, so that routers which do not yet know of one another's misses build few
 * replicas of a segment. A cache miss is a request with a shared segment that no engine caches; that segment is hashed
 * over the engines.
 *
 * <p>Number of replicas: until the events of the first cache miss arrive, each router may send the same segment once
 * more. If many routers request it, all of these requests would queue at one engine. So a segment gets one replica for
 * each {@link #ROUTERS_PER_REPLICA} live routers, and each router chooses the cheapest of these engines.
 */
final class CacheMissPlacement {
    /** Number of live routers for which one initial replica of a segment is built. */
    private static final int ROUTERS_PER_REPLICA = 16;
    /** Maximum additional cost of an engine that gets a replica, compared with the cheapest one, in nanoseconds. */
    private static final long MAX_EXTRA_COST_NANOS = 300_000_000L;

    private long[] bestWeights = new long[8];
    private int[] bestCandidates = new int[8];

    /**
     * Chooses one of the candidates.
     *
     * @param knownTokens tokens of the prompt that any engine or store caches
     * @param costs cost of each candidate, without that of transfers of what is cached elsewhere
     * @return index of the chosen candidate
     */
    int choose(
            RouteRequest request, int knownTokens, List<TrackedInstance> candidates, double[] costs, int liveRouters) {
        double maxCost = lowestCost(costs, candidates.size()) + MAX_EXTRA_COST_NANOS;
        int replicas = 1 + (liveRouters - 1) / ROUTERS_PER_REPLICA;
        return cheapestOfHighestWeights(placementKey(request, knownTokens), candidates, costs, maxCost, replicas);
    }

    /**
     * Returns the cheapest of the {@code replicas} candidates with the highest weights among those that cost at most
     * {@code maxCost}.
     */
    private int cheapestOfHighestWeights(
            long key, List<TrackedInstance> candidates, double[] costs, double maxCost, int replicas) {
        ensureCapacity(replicas);
        int foundCount = 0;
        for (int i = 0; i < candidates.size(); i++) {
            if (costs[i] <= maxCost) {
                long weight = RendezvousHash.weight(key, candidates.get(i).idHash());
                foundCount = insert(i, weight, foundCount, replicas);
            }
        }
        int cheapest = bestCandidates[0];
        for (int i = 1; i < foundCount; i++) {
            cheapest = costs[bestCandidates[i]] < costs[cheapest] ? bestCandidates[i] : cheapest;
        }
        return cheapest;
    }

    private static double lowestCost(double[] costs, int size) {
        double lowestCost = costs[0];
        for (int i = 1; i < size; i++) {
            lowestCost = Math.min(lowestCost, costs[i]);
        }
        return lowestCost;
    }

    /**
     * Inserts a candidate into the list of the highest weights, in descending order. Returns the new length of the
     * list.
     */
    private int insert(int candidate, long weight, int length, int maxLength) {
        int position = length;
        while (position > 0 && Long.compareUnsigned(weight, bestWeights[position - 1]) > 0) {
            position--;
        }
        if (position == maxLength) {
            return length;
        }
        int newLength = Math.min(length + 1, maxLength);
        System.arraycopy(bestWeights, position, bestWeights, position + 1, newLength - position - 1);
        System.arraycopy(bestCandidates, position, bestCandidates, position + 1, newLength - position - 1);
        bestWeights[position] = weight;
        bestCandidates[position] = candidate;
        return newLength;
    }

    private void ensureCapacity(int replicas) {
        if (bestCandidates.length < replicas) {
            bestCandidates = Arrays.copyOf(bestCandidates, replicas * 2);
            bestWeights = Arrays.copyOf(bestWeights, replicas * 2);
        }
    }

    /**
     * Returns the key by which a cache miss is assigned to an engine: model, isolated tenant and the first shared
     * segment of which more than a short remainder is not cached. So requests that lack the same segment are sent to
     * one engine, which prefills it once. The weights version is not part of the key, so new weights do not change the
     * assignment.
     */
    private static long placementKey(RouteRequest request, int knownTokens) {
        List<PromptSegment> segments = request.segments();
        long segment = 0;
        int endTokens = 0;
        for (int i = 0;
                i < segments.size() - 1 && (i == 0 || endTokens - knownTokens < CostModel.MIN_MISS_TOKENS);
                i++) {
            segment = segments.get(i).id();
            endTokens += segments.get(i).tokens();
        }
        String salt = CacheSalt.of(request.model(), 1, request.tenant(), "");
        return CacheSalt.key(CacheSalt.hash(salt), segment);
    }
}
