package burlarch.routing.planner;

import burlarch.configuration.Configuration.Tenant;
import burlarch.coordination.registry.Instance;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.ServerLoad;
import java.util.List;
import java.util.Random;

/**
 * A {@link VirtualFleet} whose routers receive unequal fractions of the traffic. All requests are cache misses; tenant
 * 0 floods, the others stay within their quota shares. A rejected client retries once.
 */
final class FloodedFleet {
    /** Counts of requests within the measured time. */
    static final class RequestCounts {
        int requested;
        int sent;
        int served;
        int withinTarget;
        int overQuota;
        int overloaded;

        double servedFraction() {
            return (double) served / requested;
        }

        double withinTargetFraction() {
            return (double) withinTarget / requested;
        }
    }

    static final int TENANTS = 8;
    static final int ENGINES = 6;
    static final double FLOOD_PER_SECOND = 120;
    static final double OTHER_PER_SECOND = 1.2;
    private static final double FLOOD_FROM_SECONDS = 5;
    private static final double MEASURED_FROM_SECONDS = 15;
    private static final double MEASURED_UNTIL_SECONDS = 115;
    private static final double UNTIL_SECONDS = 120;
    private static final long CLIENT_TIMEOUT_NANOS = 8 * Fixture.SECOND;
    private static final int MEAN_OWN_TOKENS = 2_890;
    private static final int OUTPUT_TOKENS = 51;

    final RequestCounts flood = new RequestCounts();
    final RequestCounts others = new RequestCounts();
    int rejections;
    int sends;
    long shortestRetryMillis = Long.MAX_VALUE;
    long longestRetryMillis;
    private final VirtualFleet fleet;
    private final List<Tenant> tenants = Fixture.tenants(TENANTS);
    private final boolean admitAlways;
    private final Random random;
    private final double[] weights;
    private long nextId = 1L << 40;

    /** @param admitAlways for comparison: the routers reject nothing */
    FloodedFleet(int routers, boolean admitAlways, long seed) {
        this.admitAlways = admitAlways;
        random = new Random(seed);
        fleet = new VirtualFleet(0, ENGINES, TENANTS, seed);
        List<Instance> instances = Fixture.engines(ENGINES);
        weights = new double[routers];
        for (int i = 0; i < routers; i++) {
            FleetPlanner planner = Fixture.planner(false, tenants, routers);
            planner.onInstances(instances, 0);
            fleet.routers.add(planner);
            weights[i] = 1 + i % 3;
        }
    }

    /**
     * Makes the last {@code failed} routers fail at the given time. The first router is partitioned off and continues;
     * the others learn of both.
     */
    void loseRouters(int failed, double seconds) {
        fleet.schedule((long) (seconds * 1e9), () -> {
            int size = weights.length;
            for (int i = 1; i < size; i++) {
                weights[i] = i < size - failed ? weights[i] : 0;
                fleet.routers.get(i).onLiveRouters(size - failed - 1, fleet.now());
            }
        });
    }

    void run() {
        for (int i = 0; i < TENANTS; i++) {
            double fromSeconds = i == 0 ? FLOOD_FROM_SECONDS : 0;
            double perSecond = i == 0 ? FLOOD_PER_SECOND : OTHER_PER_SECOND;
            for (double arrivalSeconds = fromSeconds + exponentialSample(perSecond);
                    arrivalSeconds < UNTIL_SECONDS;
                    arrivalSeconds += exponentialSample(perSecond)) {
                int tenant = i;
                fleet.schedule((long) (arrivalSeconds * 1e9), () -> request(tenant));
            }
        }
        fleet.run();
    }

    static double measuredSeconds() {
        return MEASURED_UNTIL_SECONDS - MEASURED_FROM_SECONDS;
    }

    /** Returns the cache misses of mean length that all engines together can prefill in a second. */
    double prefillablePerSecond() {
        long prefilledTokens = fleet.engines.stream()
                .mapToLong(engine -> engine.tokensPrefilled)
                .sum();
        return ENGINES * VirtualEngine.TOKENS_PER_NANO * 1e9 / ((double) prefilledTokens / sends);
    }

    private double exponentialSample(double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond;
    }

    private boolean isMeasured(long atNanos) {
        return atNanos >= MEASURED_FROM_SECONDS * 1e9 && atNanos < MEASURED_UNTIL_SECONDS * 1e9;
    }

    private void request(int tenant) {
        RequestCounts counts = tenant == 0 ? flood : others;
        counts.requested += isMeasured(fleet.now()) ? 1 : 0;
        int ownTokens = Math.max(20, (int) (MEAN_OWN_TOKENS * exponentialSample(1)));
        List<PromptSegment> segments = List.of(
                new PromptSegment(1 + random.nextInt(4), 2_520),
                new PromptSegment(nextId++, 3_780),
                new PromptSegment(nextId++, ownTokens));
        attempt(tenant, segments, fleet.now(), 1);
    }

    private void attempt(int tenant, List<PromptSegment> segments, long requestedAtNanos, int retriesLeft) {
        FleetPlanner router = fleet.routers.get(randomRouter());
        int tokens = segments.stream().mapToInt(PromptSegment::tokens).sum();
        RouteRequest request = new RouteRequest(
                "r" + nextId++,
                Fixture.REVIEW,
                tenants.get(tenant),
                Fixture.MODEL,
                tokens,
                OUTPUT_TOKENS,
                segments,
                false,
                fleet.now(),
                requestedAtNanos + CLIENT_TIMEOUT_NANOS);
        // Retries are neither offered to admission nor rejected for their latency target.
        Placement placement = router.plan(request, admitAlways ? 1 : 0, fleet.now());
        if (placement instanceof Placement.Send send) {
            send(tenant, router, request, send, requestedAtNanos);
            return;
        }
        rejections++;
        Placement.Reject rejection = (Placement.Reject) placement;
        if (isMeasured(fleet.now())) {
            RequestCounts counts = tenant == 0 ? flood : others;
            counts.overQuota += rejection.reason().startsWith("cache miss quota used up") ? 1 : 0;
            counts.overloaded += rejection.reason().startsWith("service is overloaded") ? 1 : 0;
        }
        long retryAfterMillis = rejection.retryAfterMillis();
        shortestRetryMillis = Math.min(shortestRetryMillis, retryAfterMillis);
        longestRetryMillis = Math.max(longestRetryMillis, retryAfterMillis);
        if (retriesLeft > 0) {
            fleet.schedule(
                    fleet.now() + retryAfterMillis * Fixture.MILLI,
                    () -> attempt(tenant, segments, requestedAtNanos, retriesLeft - 1));
        }
    }

    private int randomRouter() {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double remaining = random.nextDouble() * sum;
        int router = 0;
        while (router < weights.length - 1 && remaining >= weights[router]) {
            remaining -= weights[router++];
        }
        return router;
    }

    private void send(
            int tenant, FleetPlanner router, RouteRequest request, Placement.Send send, long requestedAtNanos) {
        RequestCounts counts = tenant == 0 ? flood : others;
        router.onSent(request, send, fleet.now());
        VirtualEngine engine = engine(send.instance().address());
        ServerLoad[] reportedLoad = new ServerLoad[1];
        VirtualEngine.Work work = new VirtualEngine.Work(
                request,
                send,
                engine(send.kvFetch()),
                firstEventNanos -> {
                    reportedLoad[0] = engine.load();
                    router.onFirstEvent(request, send, reportedLoad[0], fleet.now());
                    if (isMeasured(requestedAtNanos)) {
                        counts.served += firstEventNanos - requestedAtNanos <= CLIENT_TIMEOUT_NANOS ? 1 : 0;
                        long targetNanos = Fixture.REVIEW.targetLatencyMillis() * Fixture.MILLI;
                        counts.withinTarget += firstEventNanos - requestedAtNanos <= targetNanos ? 1 : 0;
                    }
                },
                endNanos -> router.onEnded(request, send, AttemptOutcome.ANSWERED, reportedLoad[0], fleet.now()));
        if (!engine.accept(work)) {
            router.onEnded(request, send, AttemptOutcome.REJECTED, engine.load(), fleet.now());
            return;
        }
        sends++;
        counts.sent += isMeasured(fleet.now()) ? 1 : 0;
    }

    private VirtualEngine engine(String address) {
        return fleet.engines.stream()
                .filter(engine -> engine.instance.address().equals(address))
                .findFirst()
                .orElse(null);
    }
}
