package burlarch.router;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Limits;
import burlarch.configuration.RouteTable;
import burlarch.engine.DelayedExecutor;
import burlarch.engine.EngineHttpClientFactory;
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

/** The router's data path: takes requests of clients, lets the planner place them and passes answers on. */
public final class RouterServer implements AutoCloseable {
    private static final int MOST_THREADS = 8;
    private static final int LEAST_THREADS = 4;
    private static final long STOP_MILLIS = 200;
    private static final int ACCEPT_QUEUE = 512;
    /** Further clients wait in the queue of the listening socket. */
    private static final int MOST_CLIENTS = 2500;

    private static final int POOL_FACTOR = 4096;
    private static final int POOL_LARGEST = 65536;
    private static final int POOL_BUCKET = 64;
    private static final long POOL_BYTES = 2L << 20;
    private static final int USUAL_HEAD_BYTES = 16384;
    private static final int ANSWER_HEAD_BYTES = 16384;
    private static final long USUAL_IDLE_MILLIS = 60_000;
    /** Resting connections are kept this much longer than the configuration says. */
    private static final long IDLE_SLACK_MILLIS = 1000;

    private final RouterServerSettings settings;
    private final Function<Configuration, RouteTable> tables;
    private final SynchronizedPlanner gate;
    private final Scheduler scheduler = new ScheduledExecutorScheduler("router-timer", true);
    private final Server server;
    private final UpstreamClient client;
    private final ForwardingContext context;
    private final ClientRequestHandler handler;
    private final HttpConfiguration http = httpConfiguration();
    private ServerConnector front;
    private ServerConnector readiness;
    private volatile boolean ready;
    private volatile boolean draining;
    private CompletableFuture<Void> drained;

    /**
     * @param planner called under {@code plannerLock} only
     * @param tables makes a configuration ready for look-ups
     */
    public RouterServer(
            RouterServerSettings settings,
            Planner planner,
            Object plannerLock,
            Function<Configuration, RouteTable> tables) {
        this.settings = settings;
        this.tables = tables;
        this.gate = new SynchronizedPlanner(planner, plannerLock);
        QueuedThreadPool threads = new QueuedThreadPool(MOST_THREADS, LEAST_THREADS);
        threads.setName("router");
        threads.setReservedThreads(0);
        threads.setStopTimeout(STOP_MILLIS);
        this.server = new Server(
                threads,
                scheduler,
                new ArrayByteBufferPool(0, POOL_FACTOR, POOL_LARGEST, POOL_BUCKET, POOL_BYTES, POOL_BYTES));
        this.client = new UpstreamClient(threads, scheduler, settings.connectTimeoutMillis());
        this.context = new ForwardingContext(gate, client, scheduler);
        this.handler = new ClientRequestHandler(context, () -> ready && !draining);
    }

    private static HttpConfiguration httpConfiguration() {
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setUriCompliance(UriCompliance.UNSAFE);
        http.setRequestHeaderSize(USUAL_HEAD_BYTES);
        http.setResponseHeaderSize(ANSWER_HEAD_BYTES);
        return http;
    }

    /** Listens at both addresses. */
    public void start() throws Exception {
        front = connector(settings.front());
        front.setAcceptQueueSize(ACCEPT_QUEUE);
        readiness = connector(settings.readiness());
        handler.readinessAt(readiness);
        server.addBean(new ConnectionLimit(MOST_CLIENTS, front));
        server.setHandler(handler);
        server.setErrorHandler(new EmptyErrorHandler());
        server.setStopAtShutdown(false);
        server.start();
        client.start();
    }

    private ServerConnector connector(InetSocketAddress address) {
        ServerConnector connector =
                new ServerConnector(server, null, null, null, 0, 1, new ClientConnectionFactory(http));
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(USUAL_IDLE_MILLIS);
        server.addConnector(connector);
        return connector;
    }

    /**
     * A client for calls to engines beside requests, on this server's threads and buffers; to be called once
     * started.
     */
    public HttpClient newEngineHttp() throws Exception {
        return EngineHttpClientFactory.start(server.getThreadPool(), scheduler, server.getByteBufferPool());
    }

    /** Runs tasks later on this server's timer. */
    public DelayedExecutor delays() {
        return (task, delayMillis) -> scheduler.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Port of the front, also where the settings left its choice to the system. */
    public int frontPort() {
        return front.getLocalPort();
    }

    /** Port of the platform's probes. */
    public int readinessPort() {
        return readiness.getLocalPort();
    }

    /** Puts a configuration into force for requests from now on. */
    public void onConfiguration(Configuration configuration) {
        RouteTable table = tables.apply(configuration);
        Limits limits = configuration.limits();
        if (limits != null) {
            http.setRequestHeaderSize(limits.maxHeaderBytes());
            front.setIdleTimeout(limits.idleTimeoutMillis() + IDLE_SLACK_MILLIS);
        }
        gate.configuration(configuration);
        context.table(table);
    }

    /** Lets requests go on that came before it was known where they go; from now on none waits for that. */
    public void open() {
        context.startHold().open();
    }

    /** Requests that wait until it is known where they go. */
    int waiting() {
        return context.startHold().count();
    }

    /** Whether the platform may send clients. */
    public void setReady(boolean now) {
        ready = now;
    }

    /** Leaves service; done when no request is open or the time for it is up. Then {@link #close}. */
    public CompletableFuture<Void> drain() {
        return drain(DrainSchedule.within(settings.graceMillis()));
    }

    /** Leaves service by a schedule of the caller's. */
    synchronized CompletableFuture<Void> drain(DrainSchedule schedule) {
        if (drained == null) {
            draining = true;
            Drain drain = new Drain(context.openRequests(), front, scheduler, schedule);
            context.drain(drain);
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
