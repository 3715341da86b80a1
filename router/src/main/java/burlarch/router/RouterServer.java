package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Limits;
import burlarch.configuration.RouteTable;
import burlarch.engine.DelayedExecutor;
import burlarch.engine.EngineHttpClientFactory;
import burlarch.node.http.BoundedHttpConnectionFactory;
import burlarch.node.http.ConnectionBounds;
import burlarch.node.http.ConnectionCountLimit;
import burlarch.node.http.ConnectorShutdown;
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
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Data path of the router: accepts client requests, has the planner place them, and forwards requests and responses.
 * Owns the HTTP server, the HTTP client for the instances, and their threads. The methods may be called on any
 * thread; {@link #start} must be called first and {@link #close} last.
 */
public final class RouterServer implements AutoCloseable {
    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 4;
    private static final long STOP_TIMEOUT_MILLIS = 200;
    private static final int ACCEPT_QUEUE_SIZE = 512;
    /** Maximum number of connections for readiness checks, of which the platform sends one a second. */
    private static final int MAX_READINESS_CONNECTIONS = 64;

    /** Memory of the heads of all client requests, which is several times the bytes that were received. */
    private static final long MAX_HEAD_BYTES = 16L << 20;

    private static final long BYTES_FOR_ORDINARY_HEADS = 10L << 20;
    private static final long MAX_READINESS_HEAD_BYTES = 2L << 20;
    private static final long BYTES_FOR_ORDINARY_READINESS_HEADS = 1L << 20;

    private static final int POOL_FACTOR_BYTES = 4096;
    private static final int POOL_MAX_CAPACITY_BYTES = 65536;
    private static final int POOL_MAX_BUCKET_SIZE = 64;
    private static final long POOL_MAX_MEMORY_BYTES = 2L << 20;
    private static final int DEFAULT_REQUEST_HEAD_BYTES = 16384;
    private static final int RESPONSE_HEAD_BYTES = 16384;
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 60_000;
    private static final long DEFAULT_HEAD_TIMEOUT_MILLIS = 3000;
    /** Heads may arrive, and idle client connections are kept, for this much longer than the configured timeouts. */
    private static final long TIMEOUT_SLACK_MILLIS = 1000;

    private final RouterServerSettings settings;
    private final Function<Configuration, RouteTable> routeTableFactory;
    private final SynchronizedPlanner planner;
    private final Scheduler scheduler = new ScheduledExecutorScheduler("router-timer", true);
    private final Server server;
    private final UpstreamClient client;
    private final StartupGate startupGate = new StartupGate(scheduler);
    private final InFlightRequests inFlightRequests = new InFlightRequests();
    private final DrainState drainState = new DrainState();
    private final ForwardingContext context;
    private final ClientRequestHandler handler;
    private final HttpConfiguration httpConfiguration = newHttpConfiguration();
    private final ConnectionBounds clientBounds = new ConnectionBounds(
            MAX_HEAD_BYTES, BYTES_FOR_ORDINARY_HEADS, DEFAULT_HEAD_TIMEOUT_MILLIS + TIMEOUT_SLACK_MILLIS);
    private final ConnectionBounds readinessBounds = new ConnectionBounds(
            MAX_READINESS_HEAD_BYTES,
            BYTES_FOR_ORDINARY_READINESS_HEADS,
            DEFAULT_HEAD_TIMEOUT_MILLIS + TIMEOUT_SLACK_MILLIS);
    private ServerConnector clientConnector;
    private ServerConnector readinessConnector;
    private volatile boolean ready;
    private volatile boolean draining;
    /** Null until the drain starts; guarded by this. */
    private CompletableFuture<Void> drained;

    /**
     * Creates a data path that has not been started.
     *
     * @param planner called only while {@code plannerLock} is held
     * @param routeTableFactory creates the route table of a configuration
     */
    public RouterServer(
            RouterServerSettings settings,
            Planner planner,
            Object plannerLock,
            Function<Configuration, RouteTable> routeTableFactory) {
        this(settings, planner, plannerLock, routeTableFactory, CredentialValidity.UNBOUNDED);
    }

    /**
     * As {@link #RouterServer(RouterServerSettings, Planner, Object, Function)}.
     *
     * @param credentials decides whether requests that need an API key are forwarded at the moment
     */
    public RouterServer(
            RouterServerSettings settings,
            Planner planner,
            Object plannerLock,
            Function<Configuration, RouteTable> routeTableFactory,
            CredentialValidity credentials) {
        this.settings = settings;
        this.routeTableFactory = routeTableFactory;
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
                inFlightRequests, drainState, () -> ready && !draining, (request, response) -> new Exchange(
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

    private static HttpConfiguration newHttpConfiguration() {
        HttpConfiguration httpConfiguration = new HttpConfiguration();
        httpConfiguration.setSendServerVersion(false);
        httpConfiguration.setSendDateHeader(false);
        httpConfiguration.setUriCompliance(UriCompliance.UNSAFE);
        httpConfiguration.setRequestHeaderSize(DEFAULT_REQUEST_HEAD_BYTES);
        httpConfiguration.setResponseHeaderSize(RESPONSE_HEAD_BYTES);
        return httpConfiguration;
    }

    /** Starts to listen at the addresses for clients and for readiness checks. */
    public void start() throws Exception {
        clientConnector = addConnector(settings.front(), new ClientConnectionFactory(httpConfiguration, clientBounds));
        clientConnector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
        readinessConnector = addConnector(
                settings.readiness(), new BoundedHttpConnectionFactory(httpConfiguration, readinessBounds));
        handler.setReadinessConnector(readinessConnector);
        ConnectionCountLimit.apply(settings.maxClientConnections(), clientConnector);
        ConnectionCountLimit.apply(MAX_READINESS_CONNECTIONS, readinessConnector);
        server.setHandler(handler);
        server.setErrorHandler(new EmptyErrorHandler());
        server.setStopAtShutdown(false);
        server.start();
        client.start();
    }

    private ServerConnector addConnector(InetSocketAddress address, HttpConnectionFactory connections) {
        ServerConnector connector = new ServerConnector(server, null, null, null, 0, 1, connections);
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(DEFAULT_IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        return connector;
    }

    /**
     * Creates an HTTP client for calls to engines other than forwarded requests. It uses the threads and buffers of
     * this server. Must be called after {@link #start}.
     */
    public HttpClient newEngineHttp() throws Exception {
        return EngineHttpClientFactory.start(server.getThreadPool(), scheduler, server.getByteBufferPool());
    }

    /** Executor of delayed tasks on the timer thread of this server. */
    public DelayedExecutor delays() {
        return (task, delayMillis) -> scheduler.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Actual port for clients, also if the settings let the system choose it. */
    public int frontPort() {
        return clientConnector.getLocalPort();
    }

    /** Actual port for readiness checks. */
    public int readinessPort() {
        return readinessConnector.getLocalPort();
    }

    /** Applies a configuration to all requests that are read from now on. */
    public void onConfiguration(Configuration configuration) {
        RouteTable routeTable = routeTableFactory.apply(configuration);
        Limits limits = configuration.limits();
        if (limits != null) {
            httpConfiguration.setRequestHeaderSize(limits.maxHeaderBytes());
            clientConnector.setIdleTimeout(limits.idleTimeoutMillis() + TIMEOUT_SLACK_MILLIS);
            clientBounds.setHeadTimeoutMillis(limits.headerTimeoutMillis() + TIMEOUT_SLACK_MILLIS);
        }
        planner.onConfiguration(configuration);
        context.setRouteTable(routeTable);
    }

    /** Releases the requests that wait for the first configuration; from now on no request waits. */
    public void openStartupGate() {
        startupGate.open();
    }

    /** Number of requests that are waiting for the first configuration. */
    int waitingRequests() {
        return startupGate.waitingCount();
    }

    /** Sets whether the platform may direct clients to this router. */
    public void setReady(boolean isReady) {
        ready = isReady;
    }

    /**
     * Starts the graceful shutdown. The result completes when no request is in flight or the drain schedule is over;
     * no request is forwarded after that, and {@link #close} or {@link #closeClientConnections} may be called.
     */
    public CompletableFuture<Void> drain() {
        return drain(settings.drainSchedule());
    }

    /** As {@link #drain()}, with the given schedule. */
    synchronized CompletableFuture<Void> drain(DrainSchedule schedule) {
        if (drained == null) {
            draining = true;
            Drain drain = new Drain(inFlightRequests, clientConnector, scheduler, schedule);
            drainState.onDrainStarted(drain);
            drained = drain.done();
        }
        return drained;
    }

    /**
     * Closes the connections of all clients, so that none waits for the exit of the process. Must be called after the
     * {@linkplain #drain() drain}.
     */
    void closeClientConnections() {
        ConnectorShutdown.closeConnections(clientConnector);
    }

    @Override
    public void close() throws Exception {
        client.stop();
        server.stop();
    }
}
