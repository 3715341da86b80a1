package burlarch.routing.admission;

import burlarch.admission.LearnedCapacity;
import burlarch.configuration.Configuration.Tenant;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Admission control of the cache misses of one service. A cache miss is a request whose shared segments no engine
 * caches, so that an engine has to prefill them. Each cache miss is offered under its tenant and is admitted or
 * rejected at once. The sustainable rate is learned from the outcomes of cache misses.
 */
public final class CacheMissAdmission {
    /** Averaging window of the most urgent rank, its increase for each lower rank, and its maximum. */
    private static final double BASE_WINDOW_SECONDS = 10;

    private static final double WINDOW_SECONDS_PER_RANK = 2.5;
    private static final double MAX_RANK_WINDOW_SECONDS = 20;
    /** Minimum window for each tenant: large enough that a single offer fits into an equal quota share. */
    private static final double WINDOW_SECONDS_PER_TENANT = 1.5;
    /** Outcomes in a batch of evidence. It is small because one router sees few cache misses per second. */
    private static final double EVIDENCE_BATCH = 16;
    /** Routers receive unequal fractions of the traffic, so each may exceed an equal fraction by this factor. */
    private static final double HEADROOM = 2;

    private static final double FLEET_FLOOR_PER_SECOND = 20;
    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 2_000;
    /** A tenant floods a service if it offers more than this multiple of the mean of all tenants. */
    private static final double FLOOD_FACTOR = 3;
    /** Index of a tenant that the configuration does not name. */
    private static final int UNKNOWN_TENANT = -1;

    private final Map<String, Integer> tenants = new HashMap<>();
    private LearnedCapacity capacity;

    /**
     * Configures the tenants. If they differ from the former ones, their quotas start anew; the learned rate is kept.
     *
     * @param configured null for none: all requests count as of one tenant
     * @param initialPerSecond rate of all routers together that is used until a rate has been learned
     */
    public void configure(List<Tenant> configured, double initialPerSecond, int liveRouters) {
        int count = configured == null ? 0 : configured.size();
        boolean unchanged = capacity != null && count == tenants.size();
        for (int i = 0; unchanged && i < count; i++) {
            Integer index = tenants.get(configured.get(i).name());
            unchanged = index != null && index == i;
        }
        if (unchanged) {
            onLiveRouters(liveRouters);
            return;
        }
        tenants.clear();
        double[] shares = new double[Math.max(1, count)];
        for (int i = 0; i < shares.length; i++) {
            shares[i] = 1;
            if (i < count) {
                tenants.put(configured.get(i).name(), i);
            }
        }
        double initial = capacity == null ? initialPerSecond / liveRouters : capacity.perSecond();
        capacity = new LearnedCapacity(shares, initial, floorPerSecond(liveRouters), EVIDENCE_BATCH, 1);
    }

    /** Sets the number of live routers. The minimum rate of the whole fleet is divided by it. */
    public void onLiveRouters(int liveRouters) {
        capacity.setFloor(floorPerSecond(liveRouters));
    }

    private static double floorPerSecond(int liveRouters) {
        return Math.min(LearnedCapacity.FLOOR_PER_SECOND, FLEET_FLOOR_PER_SECOND / Math.max(1, liveRouters));
    }

    /**
     * Offers a cache miss. Returns whether it is admitted.
     *
     * @param sustainablePerSecond cache misses per second that the engines can prefill for this router; until overload
     *     has been observed, the learned rate follows the offers up to a multiple of it
     */
    public boolean offer(RouteRequest request, double sustainablePerSecond, long nowNanos) {
        if (capacity.perSecond() < HEADROOM * sustainablePerSecond) {
            capacity.growAheadOfOffers();
        }
        return capacity.offer(indexOf(request.tenant()), windowSeconds(request.rank()), nowNanos);
    }

    /** Whether the tenant of a request offers cache misses at several times the mean rate of all tenants. */
    public boolean isFlooding(RouteRequest request) {
        double meanPerSecond = capacity.throttle.offeredTotal() / Math.max(1, tenants.size());
        return capacity.throttle.offered(indexOf(request.tenant())) > FLOOD_FACTOR * meanPerSecond;
    }

    /** Takes back the offer, made {@code agoNanos} ago, of an admitted cache miss that was not executed. */
    public void withdraw(RouteRequest request, long agoNanos) {
        capacity.withdraw(indexOf(request.tenant()), windowSeconds(request.rank()), agoNanos);
    }

    /**
     * Reports the outcome of a cache miss.
     *
     * @param relativeWait wait for other requests as a fraction of the latency target; 1 for errors, time-outs and
     *     rejections
     * @param accepted whether the instance executed it
     */
    public void onOutcome(long sentNanos, double relativeWait, boolean accepted, long nowNanos) {
        capacity.onOutcome(sentNanos, relativeWait, accepted, nowNanos);
    }

    /**
     * Returns the Retry-After of a rejected cache miss, from 50 to 2000 ms: the time until the estimated rate of its
     * tenant has fallen far enough for one more offer. It is randomized so that clients that were rejected together do
     * not return together.
     */
    public long retryAfterMillis(RouteRequest request) {
        double uniform = RendezvousHash.uniform(request.id());
        double perSecond = capacity.perSecond();
        double offeredPerSecond = capacity.throttle.offeredTotal();
        double rejectedFraction = offeredPerSecond > perSecond ? 1 - perSecond / offeredPerSecond : 0;
        double millis = 1e3 * windowSeconds(request.rank()) / perSecond * rejectedFraction * (0.5 + uniform);
        return (long) Math.max(MIN_RETRY_MILLIS * (1 + uniform), Math.min(MAX_RETRY_MILLIS, millis));
    }

    /** Returns the learned rate of this router, in cache misses per second. */
    public double perSecond() {
        return capacity.perSecond();
    }

    private int indexOf(Tenant tenant) {
        Integer index = tenant == null ? null : tenants.get(tenant.name());
        if (index != null) {
            return index;
        }
        return tenants.isEmpty() ? 0 : UNKNOWN_TENANT;
    }

    private double windowSeconds(int rank) {
        double byRank =
                Math.min(MAX_RANK_WINDOW_SECONDS, BASE_WINDOW_SECONDS + WINDOW_SECONDS_PER_RANK * Math.max(0, rank));
        return Math.max(byRank, WINDOW_SECONDS_PER_TENANT * tenants.size());
    }
}
