package burlarch.controller.api;

import burlarch.node.http.RequestBodyBudget;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server on the {@code control} address, for the operator and for what announces itself. */
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
    private final ControlHandler handler;

    /**
     * A server that is not started yet.
     *
     * @param address to listen on; port 0 for any
     * @param callMillis a call that is not done that long after its last byte is answered 503; below the
     *     second after which its caller gives up
     */
    public ControlServer(InetSocketAddress address, ControlService service, long callMillis) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setReservedThreads(0);
        threads.setName("control");
        server = new Server(threads);
        connector = new ServerConnector(server, ACCEPTORS, SELECTORS, new HttpConnectionFactory(quiet()));
        connector.setHost(address.getHostString());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        connector.setAcceptQueueSize(BACKLOG);
        server.addConnector(connector);
        server.addBean(new NetworkConnectionLimit(MAX_CONNECTIONS, connector));
        handler = new ControlHandler(service, new RequestBodyBudget(RequestBodyLimits.MAX_TOTAL_BYTES), callMillis);
        server.setHandler(handler);
    }

    private static HttpConfiguration quiet() {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        return configuration;
    }

    /**
     * Begins to listen.
     *
     * @throws Exception if the address can't be listened on
     */
    public void start() throws Exception {
        server.start();
    }

    /** The port that is listened on. Negative while not started. */
    public int port() {
        return connector.getLocalPort();
    }

    /** Soon takes no new connections any more; calls on open ones are served and end their connection. */
    public void stopAccepting() {
        handler.drain();
        // The connector's own close leaves the socket open where there are no acceptor threads.
        IO.close((ServerSocketChannel) connector.getTransport());
        // And it listens on until the selector looks at what it was told to let go.
        for (ManagedSelector selector : connector.getContainedBeans(ManagedSelector.class)) {
            selector.submit(woken -> {});
        }
    }

    /**
     * Ends all connections and threads.
     *
     * @throws Exception if something wouldn't end
     */
    public void stop() throws Exception {
        server.stop();
    }
}
