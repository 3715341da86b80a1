package burlarch.controller.api;

import burlarch.node.http.BoundedHttpConnectionFactory;
import burlarch.node.http.ConnectionBounds;
import burlarch.node.http.ConnectionCountLimit;
import burlarch.node.http.ConnectorShutdown;
import burlarch.node.http.RequestMemoryBudget;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.tinylog.Logger;

/**
 * HTTP server of the control API, which operators and instances call at the {@code control} address. Methods may be
 * called on any thread, each at most once.
 */
public final class ControlServer {
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 2;
    private static final int ACCEPTORS = 0;
    private static final int SELECTORS = 1;
    private static final int BACKLOG = 256;
    private static final int MAX_CONNECTIONS = 1024;
    private static final int DEFAULT_MAX_DESCRIPTORS = 4096;
    /** Descriptors of the virtual machine's files, the listeners and the fleet's connections. */
    private static final int RESERVED_DESCRIPTORS = 100;
    /** Memory of the heads of all calls, which is several times the bytes that were received. */
    private static final long MAX_HEAD_BYTES = 10L << 20;

    private static final long BYTES_FOR_ORDINARY_HEADS = 6L << 20;
    /** Time within which the head of a call must arrive; callers wait one second for a response. */
    private static final long HEAD_TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(4);

    private static final long IDLE_TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(30);
    /** Longest wait for pending calls at the shutdown: callers wait no longer for a response. */
    private static final long MAX_CALL_WAIT_MILLIS = 1000;

    private final Server server;
    private final ServerConnector connector;
    private final ControlCallHandler handler;

    /** As {@link #ControlServer(InetSocketAddress, ControlService, long, int)}, with many descriptors. */
    public ControlServer(InetSocketAddress address, ControlService service, long callTimeoutMillis) {
        this(address, service, callTimeoutMillis, DEFAULT_MAX_DESCRIPTORS);
    }

    /**
     * Creates a server that is not started yet.
     *
     * @param address to listen on; port 0 for any free port
     * @param callTimeoutMillis time after the request's last byte at which a pending call is answered with 503. Callers
     *     time out after one second, so it must be less
     * @param maxDescriptors descriptors that the process may open
     */
    public ControlServer(
            InetSocketAddress address, ControlService service, long callTimeoutMillis, int maxDescriptors) {
        this(
                address,
                maxDescriptors,
                new ControlHandler(
                        service, new RequestMemoryBudget(RequestBodyLimits.MAX_TOTAL_BYTES), callTimeoutMillis));
    }

    /** As {@link #redirecting(InetSocketAddress, Supplier, int)}, with many descriptors. */
    public static ControlServer redirecting(InetSocketAddress address, Supplier<Optional<String>> target) {
        return redirecting(address, target, DEFAULT_MAX_DESCRIPTORS);
    }

    /**
     * Creates a server that is not started yet and redirects each call.
     *
     * @param address to listen on; port 0 for any free port
     * @param target supplies the control address, IP:PORT, to which one call is redirected, or empty if none is known;
     *     called on any thread
     * @param maxDescriptors descriptors that the process may open
     */
    public static ControlServer redirecting(
            InetSocketAddress address, Supplier<Optional<String>> target, int maxDescriptors) {
        return new ControlServer(address, maxDescriptors, new RedirectHandler(target));
    }

    private ControlServer(InetSocketAddress address, int maxDescriptors, ControlCallHandler handler) {
        this.handler = handler;
        int maxConnections = Math.max(1, Math.min(MAX_CONNECTIONS, (maxDescriptors - RESERVED_DESCRIPTORS) / 2));
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setReservedThreads(0);
        threads.setName("control");
        server = new Server(threads);
        ConnectionBounds bounds = new ConnectionBounds(MAX_HEAD_BYTES, BYTES_FOR_ORDINARY_HEADS, HEAD_TIMEOUT_MILLIS);
        connector = new ServerConnector(
                server, ACCEPTORS, SELECTORS, new BoundedHttpConnectionFactory(withoutServerHeaders(), bounds));
        connector.setHost(address.getHostString());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        connector.setAcceptQueueSize(BACKLOG);
        server.addConnector(connector);
        ConnectionCountLimit.apply(maxConnections, connector);
        server.setHandler(handler);
    }

    private static HttpConfiguration withoutServerHeaders() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        return configuration;
    }

    /**
     * Starts the server.
     *
     * @throws Exception if the server can't listen on the address
     */
    public void start() throws Exception {
        server.start();
    }

    /** The port that the server listens on; negative while it is not started. */
    public int port() {
        return connector.getLocalPort();
    }

    /**
     * Initiates a graceful shutdown and returns: no new connections are accepted, calls on open connections are served,
     * and each connection closes after its next response.
     */
    public void stopAccepting() {
        handler.drain();
        ConnectorShutdown.stopListening(connector);
    }

    /**
     * Rejects further calls with 503, and blocks until the calls that were read before are answered, at most
     * {@value #MAX_CALL_WAIT_MILLIS} ms. Returns early if the thread is interrupted.
     */
    public void endCalls() {
        try {
            handler.endCalls().get(MAX_CALL_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException unanswered) {
            Logger.info("control calls still pending at shutdown: waitedMillis={}", MAX_CALL_WAIT_MILLIS);
        }
    }

    /** Closes all connections at once, so that no caller waits for the exit of the process. */
    public void closeConnections() {
        ConnectorShutdown.closeConnections(connector);
    }

    /**
     * Closes all connections and stops all threads.
     *
     * @throws Exception if a component does not stop
     */
    public void stop() throws Exception {
        server.stop();
    }
}
