package burlarch.routing.planner;

import burlarch.routing.CacheSalt;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.instance.Engine;
import java.util.Arrays;
import java.util.List;

/**
 * Places fetches, requests that lack a shared segment that no engine caches, by rendezvous hashing of the segment over
 * the engines, so that routers that do not yet know of one another's fetches build few replicas.
 *
 * <p>How many replicas: until the events of the first fetch arrive, each router may send the same segment once more.
 * Where many routers request it, one engine would get all of that as a queue. So a segment gets a replica for each
 * {@link #ROUTERS_PER_REPLICA} live routers, and each router chooses the cheapest of these engines.
 */
final class FetchPlacement {
    /** Number of live routers for which one replica of a segment is built at first. */
    private static final int ROUTERS_PER_REPLICA = 16;
    /** A replica is placed only at an engine that costs at most so much more than the cheapest one, in nanoseconds. */
    private static final long SLACK_NANOS = 300_000_000L;

    private long[] bestWeights = new long[8];
    private int[] best = new int[8];

    /**
     * Chooses one of the candidates.
     *
     * @param known tokens of the prompt that anyone caches
     * @param costs of the candidates, without that of transfers of what is cached elsewhere
     * @return its index
     */
    int choose(RouteRequest request, int known, List<Engine> candidates, double[] costs, int liveRouters) {
        double highestCost = lowest(costs, candidates.size()) + SLACK_NANOS;
        int replicas = 1 + (liveRouters - 1) / ROUTERS_PER_REPLICA;
        return heaviest(placementKey(request, known), candidates, costs, highestCost, replicas);
    }

    /** The cheapest of those {@code replicas} candidates that have the highest weights and cost at most so much. */
    private int heaviest(long key, List<Engine> candidates, double[] costs, double highestCost, int replicas) {
        ensureCapacity(replicas);
        int found = 0;
        for (int i = 0; i < candidates.size(); i++) {
            if (costs[i] <= highestCost) {
                long weight = RendezvousHash.weight(key, candidates.get(i).idHash());
                found = insert(i, weight, found, replicas);
            }
        }
        int cheapest = best[0];
        for (int i = 1; i < found; i++) {
            cheapest = costs[best[i]] < costs[cheapest] ? best[i] : cheapest;
        }
        return cheapest;
    }

    private static double lowest(double[] costs, int size) {
        double lowest = costs[0];
        for (int i = 1; i < size; i++) {
            lowest = Math.min(lowest, costs[i]);
        }
        return lowest;
    }

    /** Inserts a candidate into the list of the heaviest, in descending order; returns the list's new length. */
    private int insert(int candidate, long weight, int length, int maxLength) {
        int at = length;
        while (at > 0 && Long.compareUnsigned(weight, bestWeights[at - 1]) > 0) {
            at--;
        }
        if (at == maxLength) {
            return length;
        }
        int newLength = Math.min(length + 1, maxLength);
        System.arraycopy(bestWeights, at, bestWeights, at + 1, newLength - at - 1);
        System.arraycopy(best, at, best, at + 1, newLength - at - 1);
        bestWeights[at] = weight;
        best[at] = candidate;
        return newLength;
    }

    private void ensureCapacity(int replicas) {
        if (best.length < replicas) {
            best = Arrays.copyOf(best, replicas * 2);
            bestWeights = Arrays.copyOf(bestWeights, replicas * 2);
        }
    }

    /**
     * The key by which a fetch is assigned to an engine: model, isolated tenant and the first shared segment that
     * nobody caches, except for a short rest of it. So requests that lack the same segment meet at one engine, which
     * prefills it once. The weights version is not part of the key: new weights leave the assignment as it is.
     */
    private static long placementKey(RouteRequest request, int known) {
        List<PromptSegment> segments = request.segments();
        long segment = 0;
        int end = 0;
        for (int i = 0; i < segments.size() - 1 && (i == 0 || end - known < CostModel.MIN_FETCH_TOKENS); i++) {
            segment = segments.get(i).id();
            end += segments.get(i).tokens();
        }
        String salt = CacheSalt.of(request.model(), 1, request.tenant(), "");
        return CacheSalt.key(CacheSalt.hash(salt), segment);
    }
}
