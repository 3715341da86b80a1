package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Limits;
import burlarch.configuration.RouteTable;
import burlarch.engine.DelayedExecutor;
import burlarch.engine.EngineHttpClientFactory;
import burlarch.router.forwarding.CredentialValidity;
import burlarch.router.forwarding.Exchange;
import burlarch.router.forwarding.ForwardingContext;
import burlarch.router.forwarding.SynchronizedPlanner;
import burlarch.router.lifecycle.Drain;
import burlarch.router.lifecycle.DrainSchedule;
import burlarch.router.lifecycle.DrainState;
import burlarch.router.lifecycle.InFlightRequests;
import burlarch.router.lifecycle.StartupGate;
import burlarch.router.server.ClientConnectionFactory;
import burlarch.router.server.ClientRequestHandler;
import burlarch.router.server.EmptyErrorHandler;
import burlarch.router.upstream.UpstreamClient;
import burlarch.routing.Planner;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.server.ConnectionLimit;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * The router's data path: accepts requests of clients, has the planner place them, and forwards requests and
 * responses. Owns the server, the client towards the instances, and their threads. Its methods may be called
 * on any thread; {@link #start} comes first and {@link #close} last.
 */
public final class RouterServer implements AutoCloseable {
    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 4;
    private static final long STOP_TIMEOUT_MILLIS = 200;
    private static final int ACCEPT_QUEUE = 512;
    /** Further clients wait in the accept queue of the socket. */
    private static final int MAX_CLIENT_CONNECTIONS = 2500;

    private static final int POOL_FACTOR_BYTES = 4096;
    private static final int POOL_MAX_CAPACITY_BYTES = 65536;
    private static final int POOL_MAX_BUCKET_SIZE = 64;
    private static final long POOL_MAX_MEMORY_BYTES = 2L << 20;
    private static final int DEFAULT_REQUEST_HEAD_BYTES = 16384;
    private static final int RESPONSE_HEAD_BYTES = 16384;
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 60_000;
    /** Idle connections are kept this much longer than the configuration states. */
    private static final long IDLE_TIMEOUT_SLACK_MILLIS = 1000;

    private final RouterServerSettings settings;
    private final Function<Configuration, RouteTable> routeTables;
    private final SynchronizedPlanner planner;
    private final Scheduler scheduler = new ScheduledExecutorScheduler("router-timer", true);
    private final Server server;
    private final UpstreamClient client;
    private final StartupGate startupGate = new StartupGate(scheduler);
    private final InFlightRequests requests = new InFlightRequests();
    private final DrainState drainState = new DrainState();
    private final ForwardingContext context;
    private final ClientRequestHandler handler;
    private final HttpConfiguration http = httpConfiguration();
    private ServerConnector front;
    private ServerConnector readiness;
    private volatile boolean ready;
    private volatile boolean draining;
    /** Null until the drain starts; guarded by this. */
    private CompletableFuture<Void> drained;

    /**
     * A data path that has not been started.
     *
     * @param planner called under {@code plannerLock} only
     * @param routeTables prepares a configuration for lookups
     */
    public RouterServer(
            RouterServerSettings settings,
            Planner planner,
            Object plannerLock,
            Function<Configuration, RouteTable> routeTables) {
        this(settings, planner, plannerLock, routeTables, CredentialValidity.UNBOUNDED);
    }

    /**
     * As {@link #RouterServer(RouterServerSettings, Planner, Object, Function)}.
     *
     * @param credentials whether requests that need a key are forwarded at the moment
     */
    public RouterServer(
            RouterServerSettings settings,
            Planner planner,
            Object plannerLock,
            Function<Configuration, RouteTable> routeTables,
            CredentialValidity credentials) {
        this.settings = settings;
        this.routeTables = routeTables;
        this.planner = new SynchronizedPlanner(planner, plannerLock);
        QueuedThreadPool threads = newThreadPool();
        this.server = new Server(
                threads,
                scheduler,
                new ArrayByteBufferPool(
                        0,
                        POOL_FACTOR_BYTES,
                        POOL_MAX_CAPACITY_BYTES,
                        POOL_MAX_BUCKET_SIZE,
                        POOL_MAX_MEMORY_BYTES,
                        POOL_MAX_MEMORY_BYTES));
        this.client = new UpstreamClient(threads, scheduler, settings.connectTimeoutMillis());
        this.context = new ForwardingContext(this.planner, client, scheduler, startupGate, drainState, credentials);
        this.handler = new ClientRequestHandler(
                requests, drainState, () -> ready && !draining, (request, response) -> new Exchange(
                                context, request, response)
                        .start());
    }

    private static QueuedThreadPool newThreadPool() {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("router");
        threads.setReservedThreads(0);
        threads.setStopTimeout(STOP_TIMEOUT_MILLIS);
        return threads;
    }

    private static HttpConfiguration httpConfiguration() {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setUriCompliance(UriCompliance.UNSAFE);
        http.setRequestHeaderSize(DEFAULT_REQUEST_HEAD_BYTES);
        http.setResponseHeaderSize(RESPONSE_HEAD_BYTES);
        return http;
    }

    /** Listens at both addresses. */
    public void start() throws Exception {
        front = addConnector(settings.front());
        front.setAcceptQueueSize(ACCEPT_QUEUE);
        readiness = addConnector(settings.readiness());
        handler.setReadinessConnector(readiness);
        server.addBean(new ConnectionLimit(MAX_CLIENT_CONNECTIONS, front));
        server.setHandler(handler);
        server.setErrorHandler(new EmptyErrorHandler());
        server.setStopAtShutdown(false);
        server.start();
        client.start();
    }

    private ServerConnector addConnector(InetSocketAddress address) {
        ServerConnector connector =
                new ServerConnector(server, null, null, null, 0, 1, new ClientConnectionFactory(http));
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(DEFAULT_IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        return connector;
    }

    /**
     * A client for calls to engines that are no requests of clients, on the threads and buffers of this
     * server; to be called once it has started.
     */
    public HttpClient newEngineHttp() throws Exception {
        return EngineHttpClientFactory.start(server.getThreadPool(), scheduler, server.getByteBufferPool());
    }

    /** Runs tasks later, on the timer thread of this server. */
    public DelayedExecutor delays() {
        return (task, delayMillis) -> scheduler.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Port for clients, also if the settings leave its choice to the system. */
    public int frontPort() {
        return front.getLocalPort();
    }

    /** Port for readiness checks. */
    public int readinessPort() {
        return readiness.getLocalPort();
    }

    /** Puts a configuration into force for requests from now on. */
    public void onConfiguration(Configuration configuration) {
        RouteTable routeTable = routeTables.apply(configuration);
        Limits limits = configuration.limits();
        if (limits != null) {
            http.setRequestHeaderSize(limits.maxHeaderBytes());
            front.setIdleTimeout(limits.idleTimeoutMillis() + IDLE_TIMEOUT_SLACK_MILLIS);
        }
        planner.onConfiguration(configuration);
        context.setRouteTable(routeTable);
    }

    /** Lets the requests pass that wait for the first configuration; from now on none waits. */
    public void openStartupGate() {
        startupGate.open();
    }

    /** Number of requests that wait for the first configuration. */
    int waitingRequests() {
        return startupGate.waitingCount();
    }

    /** Whether the platform may send clients to this router. */
    public void setReady(boolean now) {
        ready = now;
    }

    /**
     * Starts the graceful shutdown; completes when no request is in flight or the time is over. {@link #close}
     * comes next.
     */
    public CompletableFuture<Void> drain() {
        return drain(DrainSchedule.within(settings.graceMillis()));
    }

    /** As {@link #drain()}, by another schedule. */
    synchronized CompletableFuture<Void> drain(DrainSchedule schedule) {
        if (drained == null) {
            draining = true;
            Drain drain = new Drain(requests, front, scheduler, schedule);
            drainState.onDrainStarted(drain);
            drained = drain.done();
        }
        return drained;
    }

    @Override
    public void close() throws Exception {
        client.stop();
        server.stop();
    }
}
