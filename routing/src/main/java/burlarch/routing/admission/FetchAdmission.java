package burlarch.routing.admission;

import burlarch.admission.LearnedCapacity;
import burlarch.configuration.Configuration.Tenant;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Admission control of the fetches to one service. A fetch is a request that misses the prefix cache: no
 * engine caches its shared segments, so that it has to prefill them. Each fetch is offered under its tenant
 * and is admitted or rejected at once. The sustainable rate is learned from the outcomes of fetches.
 */
public final class FetchAdmission {
    /** Averaging window in seconds of the most urgent rank, its increase for each lower rank, and its maximum. */
    private static final double BASE_WINDOW_SECONDS = 10;

    private static final double WINDOW_SECONDS_PER_RANK = 2.5;
    private static final double MAX_RANK_WINDOW_SECONDS = 20;
    /** Minimum of the window for each tenant, so that a single offer lies within an equal quota share. */
    private static final double WINDOW_SECONDS_PER_TENANT = 1.5;
    /** Outcomes in a batch of evidence; small, because one router sees few fetches in a second. */
    private static final double EVIDENCE_BATCH = 16;
    /** Routers receive unequal fractions of the traffic, so each may exceed an equal fraction by this factor. */
    private static final double HEADROOM = 2;

    private static final double FLEET_FLOOR_PER_SECOND = 20;
    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 2_000;
    /** A tenant floods a service if it offers so many times the mean of all tenants. */
    private static final double FLOOD_FACTOR = 3;
    /** Index of a tenant that the configuration does not name. */
    private static final int UNKNOWN_TENANT = -1;

    private final Map<String, Integer> tenants = new HashMap<>();
    private LearnedCapacity capacity;

    /**
     * Configures the tenants. If they differ from the former ones their quotas begin anew; the learned rate stays.
     *
     * @param configured null for none: all requests are of one tenant
     * @param initialPerSecond rate of all routers together, used until a rate has been learned
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

    /** The number of live routers: the least rate of all of them together is divided by it. */
    public void onLiveRouters(int liveRouters) {
        capacity.setFloor(floorPerSecond(liveRouters));
    }

    private static double floorPerSecond(int liveRouters) {
        return Math.min(LearnedCapacity.FLOOR_PER_SECOND, FLEET_FLOOR_PER_SECOND / Math.max(1, liveRouters));
    }

    /**
     * Offers a fetch. Returns whether it is admitted.
     *
     * @param sustainablePerSecond fetches that the engines can prefill for this router; until overload has been
     *     observed the learned rate follows the offers up to a multiple of that
     */
    public boolean offer(RouteRequest request, double sustainablePerSecond, long nowNanos) {
        if (capacity.perSecond() < HEADROOM * sustainablePerSecond) {
            capacity.keepAhead();
        }
        return capacity.offer(indexOf(request.tenant()), windowSeconds(request.rank()), nowNanos);
    }

    /** Whether the tenant of a request offers fetches at several times the mean rate of all tenants. */
    public boolean isFlooding(RouteRequest request) {
        double meanPerSecond = capacity.throttle.offeredTotal() / Math.max(1, tenants.size());
        return capacity.throttle.offered(indexOf(request.tenant())) > FLOOD_FACTOR * meanPerSecond;
    }

    /** An admitted fetch was not executed: its offer of {@code agoNanos} ago is taken back. */
    public void withdraw(RouteRequest request, long agoNanos) {
        capacity.withdraw(indexOf(request.tenant()), windowSeconds(request.rank()), agoNanos);
    }

    /**
     * The outcome of a fetch.
     *
     * @param strain its wait for other requests as a fraction of the latency target; 1 for errors, time-outs and
     *     rejections
     * @param accepted whether the instance executed it
     */
    public void onOutcome(long sentNanos, double strain, boolean accepted, long nowNanos) {
        capacity.onOutcome(sentNanos, strain, accepted, nowNanos);
    }

    /**
     * Retry-After of a rejected fetch: when the rate estimated for its tenant will have fallen so far that one
     * more offer fits, spread at random over requests that are rejected together. From 50 to 2000 ms.
     */
    public long retryAfterMillis(RouteRequest request) {
        double unit = RendezvousHash.unit(request.id());
        double perSecond = capacity.perSecond();
        double offeredPerSecond = capacity.throttle.offeredTotal();
        double rejectedFraction = offeredPerSecond > perSecond ? 1 - perSecond / offeredPerSecond : 0;
        double millis = 1e3 * windowSeconds(request.rank()) / perSecond * rejectedFraction * (0.5 + unit);
        return (long) Math.max(MIN_RETRY_MILLIS * (1 + unit), Math.min(MAX_RETRY_MILLIS, millis));
    }

    /** The learned rate of this router, in fetches a second. */
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
