package burlarch.proxy.status;

import burlarch.proxy.Log;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.SocketAddress;
import java.util.Properties;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * HTTP server of the status page, on its own thread. The event loop of the proxied requests only takes a snapshot
 * periodically; rendering it and serving clients, however slow, happen on this thread.
 */
public final class StatusPage {
    /** Few, because only operators read the page. */
    private static final int MAX_CONNECTIONS = 8;

    private static final int MAX_REQUEST_BYTES = 1024;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("status", true), NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final Executor requestLoop;
    private final StatusCollector collector;
    private final AtomicBoolean snapshotPending = new AtomicBoolean();
    /** Replaced as a whole, so that a response shows the state of one moment. */
    private volatile RenderedStatus renderedStatus;

    private Channel server;
    private int connections;

    /**
     * Creates the server; call on the event loop.
     *
     * @param requestLoop the event loop of the proxied requests, which owns the collector
     */
    public StatusPage(StatusCollector collector, Executor requestLoop) {
        this.collector = collector;
        this.requestLoop = requestLoop;
        // Only this first snapshot is rendered on the event loop, which is idle then. Shown until the first refresh.
        this.renderedStatus = RenderedStatus.of(collector.snapshot());
    }

    /** Returns the program version that the build wrote into {@code version.properties}. */
    public static String version() {
        Properties properties = new Properties();
        try (InputStream input = StatusPage.class.getResourceAsStream("version.properties")) {
            properties.load(input);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return properties.getProperty("version");
    }

    /** Binds the port and starts refreshing the page. Blocks until the bind has succeeded or failed. */
    public ChannelFuture bind(SocketAddress address, int refreshMs) {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(address)
                .awaitUninterruptibly();
        server = bound.channel();
        eventLoop.scheduleWithFixedDelay(this::refresh, refreshMs, refreshMs, TimeUnit.MILLISECONDS);
        return bound;
    }

    private void accept(Channel channel) {
        if (connections >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        connections++;
        channel.closeFuture().addListener(closed -> connections--);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES, true),
                        new StatusHttpHandler(() -> renderedStatus));
    }

    private void refresh() {
        // At most one snapshot task is queued, so that they do not accumulate on an event loop that is behind.
        if (!snapshotPending.compareAndSet(false, true)) {
            return;
        }
        try {
            requestLoop.execute(() -> {
                Snapshot snapshot = collector.snapshot();
                snapshotPending.set(false);
                eventLoop.execute(() -> renderedStatus = RenderedStatus.of(snapshot));
            });
        } catch (RejectedExecutionException e) {
            Log.line("status page not refreshed: the proxy has shut down its event loop");
        }
    }

    /** Stops accepting connections. */
    public void closeServer() {
        server.close();
    }

    /** Shuts the server's thread down and closes open connections. */
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
