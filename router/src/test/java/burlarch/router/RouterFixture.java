package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Limits;
import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.configuration.Configuration.Tenant;
import burlarch.configuration.RouteTable;
import burlarch.router.forwarding.CredentialValidity;
import burlarch.router.lifecycle.DrainSchedule;
import java.net.InetSocketAddress;
import java.util.List;

/** Test fixture: a router on loopback with one route of each type and one tenant with the API key "key-a". */
final class RouterFixture implements AutoCloseable {
    static final int MAX_BODY_BYTES = 100_000;
    static final long GRACE_MILLIS = 1500;
    private static final long TRANSIT_MILLIS = 120;
    static final int RETRIES = 3;
    static final int ROUTE_TIMEOUT_MILLIS = 8000;

    final ScriptedPlanner planner;
    final RouterServer router;

    /** Starts a router that forwards to the given engines. */
    RouterFixture(ScriptedEngine... engines) throws Exception {
        this(new ScriptedPlanner(engines), CredentialValidity.UNBOUNDED);
        applyFirstConfiguration();
    }

    /** As {@link #RouterFixture(ScriptedEngine...)}, with another size limit for bodies. */
    RouterFixture(int maxBodyBytes, ScriptedEngine... engines) throws Exception {
        this(new ScriptedPlanner(engines), CredentialValidity.UNBOUNDED);
        router.onConfiguration(configuration(maxBodyBytes));
        router.setReady(true);
        router.openStartupGate();
    }

    private RouterFixture(ScriptedPlanner planner, CredentialValidity credentials) throws Exception {
        this.planner = planner;
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        router = new RouterServer(
                new RouterServerSettings(anyPort, anyPort, DrainSchedule.within(GRACE_MILLIS, TRANSIT_MILLIS)),
                planner,
                new Object(),
                RouterFixture::routeTable,
                credentials);
        router.start();
    }

    /** Starts a router that has not received its first configuration yet; see {@link #applyFirstConfiguration}. */
    static RouterFixture withoutConfiguration(ScriptedEngine... engines) throws Exception {
        return new RouterFixture(new ScriptedPlanner(engines), CredentialValidity.UNBOUNDED);
    }

    /** Starts a router that accepts API keys only while {@code credentials} allows it. */
    static RouterFixture withCredentials(CredentialValidity credentials, ScriptedEngine... engines) throws Exception {
        RouterFixture fixture = new RouterFixture(new ScriptedPlanner(engines), credentials);
        fixture.applyFirstConfiguration();
        return fixture;
    }

    /** Applies the first configuration and opens the startup gate. */
    void applyFirstConfiguration() {
        router.onConfiguration(configuration(MAX_BODY_BYTES));
        router.setReady(true);
        router.openStartupGate();
    }

    RawClient client() throws Exception {
        return new RawClient(router.frontPort());
    }

    /** Returns a request with the headers that every request has, followed by {@code extraHeaders}. */
    static String request(String method, String path, String id, String extraHeaders, String body) {
        String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        return method + " " + path + " HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: " + id
                + "\r\nX-Request-Deadline: 8000\r\nX-Credential: key-a\r\n" + length + extraHeaders + "\r\n" + body;
    }

    private static Configuration configuration(int maxBodyBytes) {
        List<Route> routes = List.of(
                route("idem", RouteType.IDEMPOTENT, false),
                route("once", RouteType.NON_IDEMPOTENT, false),
                route("stream", RouteType.STREAMING, false),
                route("resume", RouteType.STREAMING, true));
        return new Configuration(
                1,
                routes,
                List.of(),
                new Limits(8192, maxBodyBytes, 3000, 15000),
                List.of(new Tenant("tenant-a", List.of("key-a"), null, false)));
    }

    private static Route route(String name, RouteType type, boolean resumable) {
        return new Route(
                name,
                "one.example",
                "/" + name + "/",
                type,
                ROUTE_TIMEOUT_MILLIS,
                1000,
                0,
                "svc",
                null,
                RETRIES,
                false,
                false,
                resumable,
                400);
    }

    private static RouteTable routeTable(Configuration configuration) {
        return new RouteTable() {
            @Override
            public Configuration configuration() {
                return configuration;
            }

            @Override
            public Route match(String host, String path) {
                return configuration.routes().stream()
                        .filter(route -> route.hostname().equals(host) && path.startsWith(route.pathPrefix()))
                        .findFirst()
                        .orElse(null);
            }

            @Override
            public Tenant tenantOf(String key) {
                return configuration.tenants().stream()
                        .filter(tenant -> tenant.apiKeys().contains(key))
                        .findFirst()
                        .orElse(null);
            }

            @Override
            public boolean requiresKey() {
                return true;
            }
        };
    }

    @Override
    public void close() throws Exception {
        router.close();
    }
}
