package burlarch.routing.admission;

import burlarch.admission.LearnedCapacity;
import burlarch.configuration.Configuration.Tenant;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The throttle of fetches to one service: requests whose shared parts no engine keeps. Each is an offer of
 * its tenant, and goes out or is refused at once. The capacity is learned from what the fetches came to.
 */
public final class FetchAdmission {
    /** W of the most urgent rank, more for each rank below, and the most. */
    private static final double WINDOW_BEST = 10;

    private static final double WINDOW_PER_RANK = 2.5;
    private static final double WINDOW_MOST = 20;
    /** W for each tenant at least, so that one offer alone lies within an equal share. */
    private static final double WINDOW_PER_TENANT = 1.5;
    /** Outcomes that make a batch of evidence: one router sees few fetches a second. */
    private static final double BATCH = 16;
    /** Routers get uneven shares of the clients. */
    private static final double HEADROOM = 2;

    private static final double FLEET_FLOOR_PER_SECOND = 20;
    private static final long SHORTEST_RETRY_MILLIS = 50;
    private static final long LONGEST_RETRY_MILLIS = 2_000;

    private final Map<String, Integer> tenants = new HashMap<>();
    private LearnedCapacity capacity;

    /** Rebuilds the shares where other tenants are configured; the learned capacity stays. */
    public void configure(List<Tenant> configured, double startPerSecond, int liveRouters) {
        int count = configured == null ? 0 : configured.size();
        boolean same = capacity != null && count == tenants.size();
        for (int i = 0; same && i < count; i++) {
            Integer index = tenants.get(configured.get(i).name());
            same = index != null && index == i;
        }
        if (same) {
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
        double start = capacity == null ? startPerSecond / liveRouters : capacity.perSecond();
        double floor = Math.min(LearnedCapacity.FLOOR_PER_SECOND, FLEET_FLOOR_PER_SECOND / liveRouters);
        capacity = new LearnedCapacity(shares, start, floor, BATCH, 1);
    }

    /**
     * Whether the fetch may go out.
     *
     * @param bearable fetches a second that the engines can read for this router; until strain has been seen
     *     the capacity keeps ahead of what is offered, up to a multiple of that
     */
    public boolean offer(RouteRequest request, double bearable, long nowNanos) {
        if (capacity.perSecond() < HEADROOM * bearable) {
            capacity.keepAhead();
        }
        return capacity.offer(indexOf(request.tenant()), window(rank(request)), nowNanos);
    }

    /** A fetch that was admitted did not go out, or was not run. */
    public void withdraw(RouteRequest request, long agoNanos) {
        capacity.withdraw(indexOf(request.tenant()), window(rank(request)), agoNanos);
    }

    /**
     * What a fetch came to.
     *
     * @param strain part of the aim that it waited for others, 1 for errors, time-outs and rejections
     */
    public void onOutcome(long sentNanos, double strain, boolean accepted, long nowNanos) {
        capacity.onOutcome(sentNanos, strain, accepted, nowNanos);
    }

    /**
     * When the tenant's estimate will have come down so far that one more offer fits: its T times the part
     * that is refused, spread for those that are refused together.
     */
    public long retryAfterMillis(RouteRequest request) {
        double unit = RendezvousHash.unit(request.id());
        double perSecond = capacity.perSecond();
        double offered = capacity.throttle.offeredTotal();
        double refused = offered > perSecond ? 1 - perSecond / offered : 0;
        double millis = 1e3 * window(rank(request)) / perSecond * refused * (0.5 + unit);
        return (long) Math.max(SHORTEST_RETRY_MILLIS * (1 + unit), Math.min(LONGEST_RETRY_MILLIS, millis));
    }

    /** 0 is the most urgent. A tenant's own rank goes before its route's. */
    public static int rank(RouteRequest request) {
        Integer own = request.tenant() == null ? null : request.tenant().priority();
        return own == null ? request.route().priority() : own;
    }

    public double perSecond() {
        return capacity.perSecond();
    }

    private int indexOf(Tenant tenant) {
        Integer index = tenant == null ? null : tenants.get(tenant.name());
        return index == null ? tenants.isEmpty() ? 0 : -1 : index;
    }

    private double window(int rank) {
        double byRank = Math.min(WINDOW_MOST, WINDOW_BEST + WINDOW_PER_RANK * Math.max(0, rank));
        return Math.max(byRank, WINDOW_PER_TENANT * tenants.size());
    }
}
