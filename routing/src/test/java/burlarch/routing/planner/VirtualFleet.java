package burlarch.routing.planner;

import burlarch.configuration.Configuration.Tenant;
import burlarch.coordination.registry.Instance;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.KvEvents;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.RouterPosition;
import burlarch.routing.ServerLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Routers, engines and clients in virtual time. Each request is sent to a random router; a rejected client retries
 * once.
 */
final class VirtualFleet {
    /**
     * A kind of requests: tokens of the two segments shared by topic, mean tokens of the own segment, and tokens of
     * the response.
     */
    record Kind(
            burlarch.configuration.Configuration.Route route,
            int firstTokens,
            int secondTokens,
            int meanOwnTokens,
            int outputTokens,
            int topics) {}

    /** Outcomes of the requests of one kind or tenant. */
    static final class RequestCounts {
        int requested;
        int withinTarget;
        int served;
        int rejections;

        double withinTargetFraction() {
            return requested == 0 ? 1 : (double) withinTarget / requested;
        }

        @Override
        public String toString() {
            return "requested " + requested + " within target " + withinTarget + " served " + served + " rejections "
                    + rejections;
        }
    }

    private record Timer(long atNanos, long sequence, Runnable action) {}

    static final Kind REVIEW = new Kind(Fixture.REVIEW, 2_520, 3_780, 2_890, 51, 70);
    static final Kind LETTER = new Kind(Fixture.LETTER, 103, 69, 543, 200, 156);

    final Map<String, RequestCounts> countsByName = new HashMap<>();
    final List<VirtualEngine> engines = new ArrayList<>();
    final List<FleetPlanner> routers = new ArrayList<>();
    private final Layout layout;
    private final List<Tenant> tenants;
    private final Random random;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> a.atNanos() != b.atNanos()
            ? Long.compare(a.atNanos(), b.atNanos())
            : Long.compare(a.sequence(), b.sequence()));
    private long now;
    private long sequence;
    private long nextSegment = 1L << 40;

    /**
     * Size and layout of the fleet.
     *
     * @param zones over which routers and engines are spread evenly
     * @param slots requests that each engine can execute at once
     * @param memoryTokens KV cache of each engine, in tokens
     * @param linkMbps link speed of each engine
     * @param eventsDelayNanos time until routers receive the prefix-cache events of an engine
     */
    record Layout(
            int zones,
            int routers,
            int engines,
            int slots,
            int memoryTokens,
            double linkMbps,
            long eventsDelayNanos,
            int tenants) {
        static Layout small(int routers, int engines, int tenants) {
            return new Layout(1, routers, engines, 128, 80_000, 130_000, 80_000_000L, tenants);
        }
    }

    VirtualFleet(int routerCount, int engineCount, int tenantCount, long seed) {
        this(Layout.small(routerCount, engineCount, tenantCount), seed);
    }

    VirtualFleet(Layout layout, long seed) {
        this.layout = layout;
        random = new Random(seed);
        tenants = Fixture.tenants(layout.tenants());
        List<Instance> instances = new ArrayList<>();
        for (int i = 0; i < layout.engines(); i++) {
            instances.add(Fixture.engine("e" + i, "z" + i % layout.zones(), layout.slots()));
        }
        for (Instance instance : instances) {
            engines.add(new VirtualEngine(this, instance, layout.memoryTokens()));
        }
        for (int i = 0; i < layout.routers(); i++) {
            FleetPlanner planner = Fixture.planner(layout, i % layout.zones(), tenants);
            planner.onRouterPosition(position(i), 0);
            planner.onInstances(instances, 0);
            routers.add(planner);
        }
    }

    /** Routers are assigned to the zones in turn. Their position is their order within the zone. */
    private RouterPosition position(int router) {
        int zones = layout.zones();
        int count = (layout.routers() - router % zones + zones - 1) / zones;
        return new RouterPosition(router / zones, count);
    }

    Layout layout() {
        return layout;
    }

    long now() {
        return now;
    }

    void schedule(long atNanos, Runnable action) {
        timers.add(new Timer(atNanos, sequence++, action));
    }

    void deliver(KvEvents events) {
        for (FleetPlanner router : routers) {
            router.onKvEvents(events, now);
        }
    }

    /** Schedules Poisson arrivals of one tenant in a time span. */
    void traffic(Kind kind, int tenant, double perSecond, double fromSeconds, double untilSeconds) {
        double atSeconds = fromSeconds;
        while (true) {
            atSeconds += -Math.log(1 - random.nextDouble()) / perSecond;
            if (atSeconds >= untilSeconds) {
                return;
            }
            long atNanos = (long) (atSeconds * 1e9);
            schedule(atNanos, () -> request(kind, tenants.get(tenant)));
        }
    }

    /** As {@link #traffic}, spread evenly over all tenants. */
    void traffic(Kind kind, double perSecond, double fromSeconds, double untilSeconds) {
        for (int i = 0; i < tenants.size(); i++) {
            traffic(kind, i, perSecond / tenants.size(), fromSeconds, untilSeconds);
        }
    }

    void run() {
        for (Timer next = timers.poll(); next != null; next = timers.poll()) {
            now = next.atNanos();
            next.action().run();
        }
    }

    RequestCounts counts(String name) {
        return countsByName.computeIfAbsent(name, key -> new RequestCounts());
    }

    private void request(Kind kind, Tenant tenant) {
        long routeHash = kind.route().name().hashCode();
        int topic = random.nextInt(kind.topics());
        List<PromptSegment> segments = List.of(
                new PromptSegment(routeHash * 31 + topic % 4, kind.firstTokens()),
                new PromptSegment(routeHash * 37 + 1_000 + topic, kind.secondTokens()),
                new PromptSegment(nextSegment++, Math.max(20, (int)
                        (kind.meanOwnTokens() * -Math.log(1 - random.nextDouble())))));
        counts(kind.route().name()).requested++;
        counts(tenant.name()).requested++;
        attempt(kind, tenant, segments, now, 1);
    }

    private void attempt(
            Kind kind, Tenant tenant, List<PromptSegment> segments, long requestedAtNanos, int retriesLeft) {
        FleetPlanner router = routers.get(random.nextInt(routers.size()));
        int tokens = segments.stream().mapToInt(PromptSegment::tokens).sum();
        RouteRequest request = new RouteRequest(
                "r" + random.nextLong(),
                kind.route(),
                tenant,
                Fixture.MODEL,
                tokens,
                kind.outputTokens(),
                segments,
                false,
                now,
                requestedAtNanos + 8 * Fixture.SECOND);
        Placement placement = router.plan(request, 0, now);
        if (placement instanceof Placement.Reject rejection) {
            counts(kind.route().name()).rejections++;
            counts(tenant.name()).rejections++;
            if (retriesLeft > 0) {
                schedule(
                        now + rejection.retryAfterMillis() * Fixture.MILLI,
                        () -> attempt(kind, tenant, segments, requestedAtNanos, retriesLeft - 1));
            }
            return;
        }
        send(kind, tenant, router, request, (Placement.Send) placement, requestedAtNanos);
    }

    private void send(
            Kind kind,
            Tenant tenant,
            FleetPlanner router,
            RouteRequest request,
            Placement.Send send,
            long requestedAtNanos) {
        router.onSent(request, send, now);
        VirtualEngine engine = engineAt(send.instance().address());
        ServerLoad[] reportedLoad = new ServerLoad[1];
        boolean[] missedTarget = new boolean[1];
        VirtualEngine.Work work = new VirtualEngine.Work(
                request,
                send,
                engineAt(send.kvFetch()),
                firstEventNanos -> {
                    reportedLoad[0] = engine.load();
                    missedTarget[0] =
                            firstEventNanos - requestedAtNanos > kind.route().targetLatencyMillis() * Fixture.MILLI;
                    router.onFirstEvent(request, send, reportedLoad[0], now);
                },
                endNanos -> {
                    router.onEnded(request, send, AttemptOutcome.ANSWERED, reportedLoad[0], now);
                    for (RequestCounts counts : List.of(counts(kind.route().name()), counts(tenant.name()))) {
                        counts.served++;
                        counts.withinTarget += missedTarget[0] ? 0 : 1;
                    }
                });
        if (!engine.accept(work)) {
            router.onEnded(request, send, AttemptOutcome.REJECTED, engine.load(), now);
        }
    }

    private VirtualEngine engineAt(String address) {
        for (VirtualEngine engine : engines) {
            if (engine.instance.address().equals(address)) {
                return engine;
            }
        }
        return null;
    }
}
