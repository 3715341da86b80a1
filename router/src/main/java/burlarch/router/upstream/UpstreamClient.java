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

/** Sends calls to instances, over idle connections where there are any. May be called on any thread. */
public final class UpstreamClient {
    private static final long SWEEP_MILLIS = 250;

    private final UpstreamConnectionPool pool;
    private final Scheduler scheduler;
    private final InputBufferPool buffers = new InputBufferPool();
    private final Selector selector;
    private final AtomicBoolean sweepScheduled = new AtomicBoolean();
    private volatile boolean stopped;

    /** A client that has not been started. */
    public UpstreamClient(Executor executor, Scheduler scheduler, long connectTimeoutMillis) {
        this.pool = new UpstreamConnectionPool(executor, this::scheduleSweep);
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

    /** Called when a connection becomes idle: sees to it that idle connections are closed once they have expired. */
    private void scheduleSweep() {
        if (!stopped && sweepScheduled.compareAndSet(false, true)) {
            scheduler.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        sweepScheduled.set(false);
        if (pool.closeExpired(System.nanoTime())) {
            scheduleSweep();
        }
    }

    /** Sends a call. Its listener may be called before this returns. */
    public void send(UpstreamCall call) {
        UpstreamConnection idle = pool.take(call.address(), System.nanoTime());
        while (idle != null) {
            if (idle.send(call)) {
                return;
            }
            idle = pool.take(call.address(), System.nanoTime());
        }
        connect(call);
    }

    private void connect(UpstreamCall call) {
        SocketChannel channel = null;
        try {
            InetSocketAddress address = parse(call.address());
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
    private static InetSocketAddress parse(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        long port = Headers.parseNumber(address.substring(colon + 1), -1);
        if (colon <= 0 || port < 1 || port > 65535) {
            throw new IOException("no address: " + address);
        }
        return new InetSocketAddress(address.substring(0, colon), (int) port);
    }

    /** Establishes connections and notifies them when there is something to read. */
    private final class Selector extends SelectorManager {
        Selector(Executor executor, Scheduler scheduler) {
            super(executor, scheduler, 1);
        }

        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector managed, SelectionKey key) {
            EndPoint endPoint = new OrderlyCloseEndPoint((SocketChannel) channel, managed, key, getScheduler());
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
                call.failUnsent(new IOException("closed before use"));
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
