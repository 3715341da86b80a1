package burlarch.routing.planner;

import burlarch.configuration.Configuration.Tenant;
import burlarch.coordination.registry.Instance;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.KvEvents;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.ServerLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/** Routers, engines and clients in virtual time. Each request goes to any router; clients come back once. */
final class VirtualFleet {
    /** A kind of request: two shared parts of so many subjects, an own part, an answer. */
    record Kind(
            burlarch.configuration.Configuration.Route route, int first, int second, int own, int out, int subjects) {}

    /** What came of the requests of one kind or tenant. */
    static final class Tally {
        int asked;
        int inAim;
        int served;
        int refusals;

        double inAimShare() {
            return asked == 0 ? 1 : (double) inAim / asked;
        }

        @Override
        public String toString() {
            return "asked " + asked + " in aim " + inAim + " served " + served + " refusals " + refusals;
        }
    }

    private record Timer(long at, long order, Runnable action) {}

    static final Kind REVIEW = new Kind(Fixture.REVIEW, 2_520, 3_780, 2_890, 51, 70);
    static final Kind LETTER = new Kind(Fixture.LETTER, 103, 69, 543, 200, 156);

    final Map<String, Tally> tallies = new HashMap<>();
    final List<VirtualEngine> engines = new ArrayList<>();
    final List<FleetPlanner> routers = new ArrayList<>();
    private final List<Tenant> tenants;
    private final Random random;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private long now;
    private long order;
    private long nextPart = 1L << 40;

    VirtualFleet(int routerCount, int engineCount, int tenantCount, long seed) {
        random = new Random(seed);
        tenants = Fixture.tenants(tenantCount);
        List<Instance> instances = Fixture.engines(engineCount);
        for (Instance instance : instances) {
            engines.add(new VirtualEngine(this, instance, 80_000));
        }
        for (int i = 0; i < routerCount; i++) {
            FleetPlanner planner = Fixture.planner(false, tenants, routerCount);
            planner.onInstances(instances, 0);
            routers.add(planner);
        }
    }

    long now() {
        return now;
    }

    void at(long when, Runnable action) {
        timers.add(new Timer(when, order++, action));
    }

    void tell(KvEvents events) {
        for (FleetPlanner router : routers) {
            router.onKvEvents(events, now);
        }
    }

    /** Poisson arrivals of one tenant from one time to another. */
    void traffic(Kind kind, int tenant, double perSecond, double fromSeconds, double untilSeconds) {
        double at = fromSeconds;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / perSecond;
            if (at >= untilSeconds) {
                return;
            }
            long when = (long) (at * 1e9);
            at(when, () -> ask(kind, tenants.get(tenant)));
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
            now = next.at();
            next.action().run();
        }
    }

    Tally tally(String name) {
        return tallies.computeIfAbsent(name, key -> new Tally());
    }

    private void ask(Kind kind, Tenant tenant) {
        long salt = kind.route().name().hashCode();
        int subject = random.nextInt(kind.subjects());
        List<PromptSegment> parts = List.of(
                new PromptSegment(salt * 31 + subject % 4, kind.first()),
                new PromptSegment(salt * 37 + 1_000 + subject, kind.second()),
                new PromptSegment(nextPart++, Math.max(20, (int) (kind.own() * -Math.log(1 - random.nextDouble())))));
        tally(kind.route().name()).asked++;
        tally(tenant.name()).asked++;
        attempt(kind, tenant, parts, now, 1);
    }

    private void attempt(Kind kind, Tenant tenant, List<PromptSegment> parts, long askedAt, int comesBack) {
        FleetPlanner router = routers.get(random.nextInt(routers.size()));
        int tokens = parts.stream().mapToInt(PromptSegment::tokens).sum();
        RouteRequest request = new RouteRequest(
                "r" + random.nextLong(),
                kind.route(),
                tenant,
                Fixture.MODEL,
                tokens,
                kind.out(),
                parts,
                false,
                now,
                askedAt + 8 * Fixture.SECOND);
        Placement placement = router.plan(request, 0, now);
        if (placement instanceof Placement.Refuse refuse) {
            tally(kind.route().name()).refusals++;
            tally(tenant.name()).refusals++;
            if (comesBack > 0) {
                at(
                        now + refuse.retryAfterMillis() * Fixture.MILLI,
                        () -> attempt(kind, tenant, parts, askedAt, comesBack - 1));
            }
            return;
        }
        send(kind, tenant, router, request, (Placement.Send) placement, askedAt);
    }

    private void send(
            Kind kind, Tenant tenant, FleetPlanner router, RouteRequest request, Placement.Send send, long askedAt) {
        router.onSent(request, send, now);
        VirtualEngine engine = find(send.instance().address());
        ServerLoad[] told = new ServerLoad[1];
        boolean[] late = new boolean[1];
        VirtualEngine.Work work = new VirtualEngine.Work(
                request,
                send,
                find(send.kvFetch()),
                first -> {
                    told[0] = engine.load();
                    late[0] = first - askedAt > kind.route().targetLatencyMillis() * Fixture.MILLI;
                    router.onFirstEvent(request, send, now);
                },
                end -> {
                    router.onEnded(request, send, AttemptOutcome.ANSWERED, told[0], now);
                    for (Tally tally : List.of(tally(kind.route().name()), tally(tenant.name()))) {
                        tally.served++;
                        tally.inAim += late[0] ? 0 : 1;
                    }
                });
        if (!engine.take(work)) {
            router.onEnded(request, send, AttemptOutcome.REJECTED, engine.load(), now);
        }
    }

    private VirtualEngine find(String address) {
        for (VirtualEngine engine : engines) {
            if (engine.instance.address().equals(address)) {
                return engine;
            }
        }
        return null;
    }
}
