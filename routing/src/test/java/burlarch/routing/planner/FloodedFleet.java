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
 * Routers with uneven parts of the offers before the engines of a {@link VirtualFleet}. All requests are
 * fetches; tenant 0 floods, the others stay within their shares. A client that is refused comes back once.
 */
final class FloodedFleet {
    /** Requests of some tenants, those asked and sent within the measured time. */
    static final class Count {
        int asked;
        int sent;
        int served;
        int inAim;
        int overShare;
        int tooMuchWaits;

        double servedPart() {
            return (double) served / asked;
        }

        double inAimPart() {
            return (double) inAim / asked;
        }
    }

    static final int TENANTS = 8;
    static final int ENGINES = 6;
    static final double FLOOD_PER_SECOND = 120;
    static final double OTHER_PER_SECOND = 1.2;
    private static final double FLOOD_FROM = 5;
    private static final double MEASURED_FROM = 15;
    private static final double MEASURED_UNTIL = 115;
    private static final double UNTIL = 120;
    private static final long PATIENCE = 8 * Fixture.SECOND;
    private static final int OWN_TOKENS = 2_890;
    private static final int OUTPUT_TOKENS = 51;

    final Count flood = new Count();
    final Count others = new Count();
    int refusals;
    int sends;
    long shortestRetryMillis = Long.MAX_VALUE;
    long longestRetryMillis;
    private final VirtualFleet fleet;
    private final List<Tenant> tenants = Fixture.tenants(TENANTS);
    private final boolean admitAlways;
    private final Random random;
    private final double[] weights;
    private long next = 1L << 40;

    /** @param admitAlways for comparison: nothing is refused by the routers */
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

    /** So many of the last routers die then. The first is cut off and goes on; the others learn of both. */
    void loseRouters(int dead, double seconds) {
        fleet.at((long) (seconds * 1e9), () -> {
            int size = weights.length;
            for (int i = 1; i < size; i++) {
                weights[i] = i < size - dead ? weights[i] : 0;
                fleet.routers.get(i).onLiveRouters(size - dead - 1, fleet.now());
            }
        });
    }

    void run() {
        for (int i = 0; i < TENANTS; i++) {
            double from = i == 0 ? FLOOD_FROM : 0;
            double perSecond = i == 0 ? FLOOD_PER_SECOND : OTHER_PER_SECOND;
            for (double at = from + gap(perSecond); at < UNTIL; at += gap(perSecond)) {
                int tenant = i;
                fleet.at((long) (at * 1e9), () -> ask(tenant));
            }
        }
        fleet.run();
    }

    static double measuredSeconds() {
        return MEASURED_UNTIL - MEASURED_FROM;
    }

    /** Fetches of the mean length that all engines together can read in a second. */
    double readablePerSecond() {
        long read =
                fleet.engines.stream().mapToLong(engine -> engine.tokensRead).sum();
        return ENGINES * VirtualEngine.TOKENS_PER_NANO * 1e9 / ((double) read / sends);
    }

    private double gap(double perSecond) {
        return -Math.log(1 - random.nextDouble()) / perSecond;
    }

    private boolean isMeasured(long at) {
        return at >= MEASURED_FROM * 1e9 && at < MEASURED_UNTIL * 1e9;
    }

    private void ask(int tenant) {
        Count count = tenant == 0 ? flood : others;
        count.asked += isMeasured(fleet.now()) ? 1 : 0;
        int own = Math.max(20, (int) (OWN_TOKENS * gap(1)));
        List<PromptSegment> parts = List.of(
                new PromptSegment(1 + random.nextInt(4), 2_520),
                new PromptSegment(next++, 3_780),
                new PromptSegment(next++, own));
        attempt(tenant, parts, fleet.now(), 1);
    }

    private void attempt(int tenant, List<PromptSegment> parts, long askedAt, int comesBack) {
        FleetPlanner router = fleet.routers.get(anyRouter());
        int tokens = parts.stream().mapToInt(PromptSegment::tokens).sum();
        RouteRequest request = new RouteRequest(
                "r" + next++,
                Fixture.REVIEW,
                tenants.get(tenant),
                Fixture.MODEL,
                tokens,
                OUTPUT_TOKENS,
                parts,
                false,
                fleet.now(),
                askedAt + PATIENCE);
        // Further attempts are not offered to the throttle, nor refused for their aim.
        Placement placement = router.plan(request, admitAlways ? 1 : 0, fleet.now());
        if (placement instanceof Placement.Send send) {
            send(tenant, router, request, send, askedAt);
            return;
        }
        refusals++;
        Placement.Refuse refuse = (Placement.Refuse) placement;
        if (isMeasured(fleet.now())) {
            Count count = tenant == 0 ? flood : others;
            count.overShare += refuse.reason().startsWith("over the share") ? 1 : 0;
            count.tooMuchWaits += refuse.reason().startsWith("too much waits") ? 1 : 0;
        }
        long retry = refuse.retryAfterMillis();
        shortestRetryMillis = Math.min(shortestRetryMillis, retry);
        longestRetryMillis = Math.max(longestRetryMillis, retry);
        if (comesBack > 0) {
            fleet.at(fleet.now() + retry * Fixture.MILLI, () -> attempt(tenant, parts, askedAt, comesBack - 1));
        }
    }

    private int anyRouter() {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double left = random.nextDouble() * sum;
        int router = 0;
        while (router < weights.length - 1 && left >= weights[router]) {
            left -= weights[router++];
        }
        return router;
    }

    private void send(int tenant, FleetPlanner router, RouteRequest request, Placement.Send send, long askedAt) {
        Count count = tenant == 0 ? flood : others;
        router.onSent(request, send, fleet.now());
        VirtualEngine engine = engine(send.instance().address());
        ServerLoad[] told = new ServerLoad[1];
        VirtualEngine.Work work = new VirtualEngine.Work(
                request,
                send,
                engine(send.kvFetch()),
                first -> {
                    told[0] = engine.load();
                    router.onFirstEvent(request, send, fleet.now());
                    if (isMeasured(askedAt)) {
                        count.served += first - askedAt <= PATIENCE ? 1 : 0;
                        long aim = Fixture.REVIEW.targetLatencyMillis() * Fixture.MILLI;
                        count.inAim += first - askedAt <= aim ? 1 : 0;
                    }
                },
                end -> router.onEnded(request, send, AttemptOutcome.ANSWERED, told[0], fleet.now()));
        if (!engine.take(work)) {
            router.onEnded(request, send, AttemptOutcome.REJECTED, engine.load(), fleet.now());
            return;
        }
        sends++;
        count.sent += isMeasured(fleet.now()) ? 1 : 0;
    }

    private VirtualEngine engine(String address) {
        return fleet.engines.stream()
                .filter(engine -> engine.instance.address().equals(address))
                .findFirst()
                .orElse(null);
    }
}
