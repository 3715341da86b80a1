package burlarch.router.upstream;

import burlarch.router.http.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.thread.Scheduler;

/** HTTP client that sends calls to instances and reuses idle connections. May be called on any thread. */
public final class UpstreamClient {
    /** Interval at which expired idle connections are closed. */
    private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 250;

    private final UpstreamConnectionPool pool;
    private final Scheduler scheduler;
    private final InputBufferPool buffers = new InputBufferPool();
    private final Selector selector;
    private final AtomicBoolean expiryCheckScheduled = new AtomicBoolean();
    private volatile boolean stopped;

    /** Creates a client that has not been started. */
    public UpstreamClient(Executor executor, Scheduler scheduler, long connectTimeoutMillis) {
        this.pool = new UpstreamConnectionPool(executor, this::scheduleExpiry);
        this.scheduler = scheduler;
        this.selector = new Selector(executor, scheduler);
        selector.setConnectTimeout(connectTimeoutMillis);
    }

    /** Starts the selector. */
    public void start() throws Exception {
        selector.start();
    }

    /** Closes all idle connections and stops the selector. */
    public void stop() throws Exception {
        stopped = true;
        pool.close();
        selector.stop();
    }

    /** Called when a connection becomes idle: schedules the next removal of expired connections. */
    private void scheduleExpiry() {
        if (!stopped && expiryCheckScheduled.compareAndSet(false, true)) {
            scheduler.schedule(this::closeExpired, EXPIRY_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeExpired() {
        expiryCheckScheduled.set(false);
        if (pool.closeExpired(System.nanoTime())) {
            scheduleExpiry();
        }
    }

    /** Sends a call over an idle or a new connection. Its listener may be called before this method returns. */
    public void send(UpstreamCall call) {
        UpstreamConnection idleConnection = pool.take(call, System.nanoTime());
        while (idleConnection != null) {
            if (idleConnection.send(call)) {
                return;
            }
            idleConnection = pool.take(call, System.nanoTime());
        }
        connect(call);
    }

    private void connect(UpstreamCall call) {
        SocketChannel channel = null;
        try {
            InetSocketAddress address = parseAddress(call.address());
            channel = SocketChannel.open();
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.configureBlocking(false);
            if (channel.connect(address)) {
                selector.accept(channel, call);
            } else {
                selector.connect(channel, call);
            }
        } catch (IOException | RuntimeException failure) {
            IO.close(channel);
            call.failUnsent(failure);
        }
    }

    /** Parses IP:PORT without a name lookup. */
    private static InetSocketAddress parseAddress(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        long port = Headers.parseNumber(address.substring(colon + 1), -1);
        if (colon <= 0 || port < 1 || port > 65535) {
            throw new IOException("address is not of the form IP:PORT: " + address);
        }
        return new InetSocketAddress(address.substring(0, colon), (int) port);
    }

    /** Establishes connections and notifies them when there are bytes to read. */
    private final class Selector extends SelectorManager {
        Selector(Executor executor, Scheduler scheduler) {
            super(executor, scheduler, 1);
        }

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector managedSelector, SelectionKey key) {
            EndPoint endPoint = new OrderlyCloseEndPoint((SocketChannel) channel, managedSelector, key, getScheduler());
            endPoint.setIdleTimeout(0);
            return endPoint;
        }

        @Override
        public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
            return new UpstreamConnection(endPoint, pool, ((UpstreamCall) attachment).address(), buffers);
        }

        @Override
        public void connectionOpened(Connection connection, Object attachment) {
            super.connectionOpened(connection, attachment);
            UpstreamCall call = (UpstreamCall) attachment;
            UpstreamConnection opened = (UpstreamConnection) connection;
            if (!opened.send(call)) {
                call.failUnsent(new IOException("connection closed before use"));
            }
        }

        @Override
        protected void connectionFailed(SelectableChannel channel, Throwable failure, Object attachment) {
            super.connectionFailed(channel, failure, attachment);
            ((UpstreamCall) attachment).failUnsent(failure);
        }

        @Override
        protected void onAcceptFailed(SelectableChannel channel, Throwable failure, Object attachment) {
            ((UpstreamCall) attachment).failUnsent(failure);
        }
    }
}
