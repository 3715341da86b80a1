package burlarch.routing.planner;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Engine;
import burlarch.configuration.Configuration.Limits;
import burlarch.configuration.Configuration.Model;
import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.configuration.Configuration.Service;
import burlarch.configuration.Configuration.Split;
import burlarch.configuration.Configuration.Tenant;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.registry.InstanceState;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.Planner;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Test data of a small deployment: a pool of model engines, plain servers and optionally a store. */
public final class Fixture {
    public static final long MILLI = 1_000_000L;
    public static final long SECOND = 1_000 * MILLI;
    static final String MODEL = "m";
    static final String STORE = "10.9.9.9:80";
    static final Map<String, String> REGIONS = Map.of("z0", "r", "z1", "r", "z2", "r", "far", "other");
    static final Route REVIEW = route("review", RouteType.STREAMING, "pool", null, 2, true, 1_000, 0);
    static final Route LETTER = route("letter", RouteType.STREAMING, "pool", null, 1, false, 1_500, 2);
    static final Route LOOKUP = route("lookup", RouteType.NON_IDEMPOTENT, "ledger", null, 1, false, 150, 2);
    static final Route QUERY = route("query", RouteType.IDEMPOTENT, "ledger", null, 3, false, 150, 1);

    private static long nextId;

    private Fixture() {}

    static Route route(
            String name,
            RouteType type,
            String service,
            List<Split> split,
            int retries,
            boolean resumable,
            long targetMillis,
            int priority) {
        return new Route(
                name,
                "h",
                "/" + name + "/",
                type,
                8_000,
                targetMillis,
                priority,
                service,
                split,
                retries,
                false,
                true,
                resumable,
                400);
    }

    static Configuration configuration(boolean withStore, List<Tenant> tenants) {
        List<Service> services = new ArrayList<>();
        services.add(new Service(
                "pool",
                "/h",
                620,
                new Engine(128, 80_000, 131_072, 130_000, 3, 12, List.of(new Model(MODEL))),
                null,
                null,
                0,
                0,
                0));
        services.add(new Service("ledger", "/h", 100, null, null, null, 0, 0, 0));
        if (withStore) {
            services.add(new Service("store", null, 0, null, STORE, "z1", 500_000, 130_000, 12));
        }
        return new Configuration(
                1,
                List.of(REVIEW, LETTER, LOOKUP, QUERY),
                services,
                new Limits(16_384, 4_194_304, 3_000, 15_000),
                tenants);
    }

    static List<Tenant> tenants(int count) {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tenants.add(new Tenant("t" + i, List.of("k" + i), null, false));
        }
        return tenants;
    }

    /** Creates the planner of one router in a fleet of the given layout. */
    static FleetPlanner planner(VirtualFleet.Layout layout, int zone, List<Tenant> tenants) {
        FleetPlanner planner = new FleetPlanner(PlannerSettings.of("z" + zone, REGIONS, 0.2, 10, 54, 8_000));
        planner.onLiveRouters(layout.routers(), 0);
        Configuration standard = configuration(false, tenants);
        List<Service> services = new ArrayList<>(standard.services());
        services.set(
                0,
                new Service(
                        "pool",
                        "/h",
                        620,
                        new Engine(
                                layout.slots(),
                                layout.memoryTokens(),
                                131_072,
                                layout.linkMbps(),
                                3,
                                12,
                                List.of(new Model(MODEL))),
                        null,
                        null,
                        0,
                        0,
                        0));
        planner.onConfiguration(new Configuration(1, standard.routes(), services, standard.limits(), tenants), 0);
        return planner;
    }

    static FleetPlanner planner(boolean withStore, List<Tenant> tenants, int routers) {
        FleetPlanner planner = new FleetPlanner(PlannerSettings.of("z0", REGIONS, 0.2, 10, 54, 8_000));
        planner.onLiveRouters(routers, 0);
        planner.onConfiguration(configuration(withStore, tenants), 0);
        return planner;
    }

    public static Instance engine(String id, long version) {
        return instance(id, "pool", 128, InstanceState.READY, List.of(new ServedModel(MODEL, version)));
    }

    static Instance engine(String id, String zone, int slots) {
        return new Instance(
                id,
                "pool",
                id + ":80",
                zone,
                "v1",
                slots,
                InstanceState.READY,
                0,
                List.of(new ServedModel(MODEL, 1)),
                1);
    }

    static Instance server(String id) {
        return instance(id, "ledger", 6, InstanceState.READY, List.of());
    }

    static Instance instance(String id, String service, int capacity, InstanceState state, List<ServedModel> models) {
        return new Instance(id, service, id + ":80", "z0", "v1", capacity, state, 0, models, 1);
    }

    static List<Instance> engines(int count) {
        List<Instance> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine("e" + i, 1));
        }
        return engines;
    }

    static List<Instance> servers(int count) {
        List<Instance> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(server("s" + i));
        }
        return servers;
    }

    /** Returns the segments of a prompt on a topic: two that are shared, and one that no other request has. */
    static List<PromptSegment> promptSegments(long topic) {
        return List.of(
                new PromptSegment(1, 2_500),
                new PromptSegment(1_000 + topic, 3_800),
                new PromptSegment(1_000_000 + ++nextId, 2_900));
    }

    static RouteRequest request(Route route, Tenant tenant, List<PromptSegment> segments, long nowNanos) {
        int tokens = segments.stream().mapToInt(PromptSegment::tokens).sum();
        String model = route.type() == RouteType.STREAMING ? MODEL : null;
        return new RouteRequest(
                "q" + ++nextId, route, tenant, model, tokens, 60, segments, false, nowNanos, nowNanos + 8 * SECOND);
    }

    static RouteRequest review(long topic, long nowNanos) {
        return request(REVIEW, null, promptSegments(topic), nowNanos);
    }

    static RouteRequest lookup(long nowNanos) {
        return request(LOOKUP, null, List.of(), nowNanos);
    }

    /** Plans an attempt and reports it as sent. A rejection fails the test. */
    static Placement.Send send(Planner planner, RouteRequest request, int attempt, long nowNanos) {
        Placement placement = planner.plan(request, attempt, nowNanos);
        if (!(placement instanceof Placement.Send send)) {
            throw new AssertionError("attempt rejected, expected a send: " + placement);
        }
        planner.onSent(request, send, nowNanos);
        return send;
    }

    /** Plans, sends and completes a request, whose first event arrives after {@code firstNanos}. */
    static Placement.Send serve(Planner planner, RouteRequest request, long nowNanos, long firstEventNanos) {
        Placement.Send send = send(planner, request, 0, nowNanos);
        planner.onFirstEvent(request, send, null, nowNanos + firstEventNanos);
        planner.onEnded(request, send, AttemptOutcome.ANSWERED, null, nowNanos + firstEventNanos + 400 * MILLI);
        return send;
    }
}
