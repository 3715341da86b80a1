package burlarch.controller.api;

import burlarch.node.http.RequestBodyBudget;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP server at the {@code control} address, for operators and instances. Methods may be called on any thread,
 * each at most once.
 */
public final class ControlServer {
    private static final int MAX_THREADS = 6;
    private static final int MIN_THREADS = 2;
    private static final int ACCEPTORS = 0;
    private static final int SELECTORS = 1;
    private static final int BACKLOG = 256;
    private static final int MAX_CONNECTIONS = 1024;
    private static final long IDLE_TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(30);

    private final Server server;
    private final ServerConnector connector;
    private final ControlCallHandler handler;

    /**
     * A server that is not started yet.
     *
     * @param address to listen on; port 0 for any free port
     * @param callTimeoutMillis how long after the request's last byte a call may take before the response is 503; less
     *     than the second after which callers give up
     */
    public ControlServer(InetSocketAddress address, ControlService service, long callTimeoutMillis) {
        this(
                address,
                new ControlHandler(
                        service, new RequestBodyBudget(RequestBodyLimits.MAX_TOTAL_BYTES), callTimeoutMillis));
    }

    /**
     * A server that is not started yet and redirects each call.
     *
     * @param address to listen on; port 0 for any free port
     * @param target names the control address, IP:PORT, to which one call is redirected; called on any thread
     */
    public static ControlServer redirecting(InetSocketAddress address, Supplier<Optional<String>> target) {
        return new ControlServer(address, new RedirectHandler(target));
    }

    private ControlServer(InetSocketAddress address, ControlCallHandler handler) {
        this.handler = handler;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setReservedThreads(0);
        threads.setName("control");
        server = new Server(threads);
        connector =
                new ServerConnector(server, ACCEPTORS, SELECTORS, new HttpConnectionFactory(withoutServerHeaders()));
        connector.setHost(address.getHostString());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        connector.setAcceptQueueSize(BACKLOG);
        server.addConnector(connector);
        server.addBean(new NetworkConnectionLimit(MAX_CONNECTIONS, connector));
        server.setHandler(handler);
    }

    private static HttpConfiguration withoutServerHeaders() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        return configuration;
    }

    /**
     * Starts to listen.
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
     * Stops accepting connections soon. Calls on open connections are served, and each connection closes after its next
     * response.
     */
    public void stopAccepting() {
        handler.drain();
        // Without acceptor threads, the connector's own close leaves the server socket open.
        IO.close((ServerSocketChannel) connector.getTransport());
        // The socket listens until its selector runs once more, so wake the selector.
        for (ManagedSelector selector : connector.getContainedBeans(ManagedSelector.class)) {
            selector.submit(ignored -> {});
        }
    }

    /**
     * Closes all connections and stops all threads.
     *
     * @throws Exception if some component does not stop
     */
    public void stop() throws Exception {
        server.stop();
    }
}
