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
 * Serves the status page on a thread of its own. The loop of the requests only gathers a snapshot now and
 * then; rendering it, and readers however slow, are this thread's.
 */
public final class StatusPage {
    /** Readers at once: technicians, not clients. */
    private static final int CONNECTIONS_MOST = 8;

    private static final int LARGEST_REQUEST = 1024;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("status", true), NioIoHandler.newFactory());
    private final EventLoop own = group.next();
    private final Executor requests;
    private final StatusBoard board;
    private final AtomicBoolean gathering = new AtomicBoolean();
    /** As one, so that a reader has a whole page of one moment. */
    private volatile Pages pages;

    private Channel server;
    private int connections;

    /** @param requests the loop that the board belongs to, and the caller's */
    public StatusPage(StatusBoard board, Executor requests) {
        this.board = board;
        this.requests = requests;
        // The one that is rendered on the loop: it has no request yet, and a first reader should see a page.
        this.pages = Pages.of(board.snapshot());
    }

    /** The version that the build gave the program. */
    public static String version() {
        Properties properties = new Properties();
        try (InputStream file = StatusPage.class.getResourceAsStream("version.properties")) {
            properties.load(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return properties.getProperty("version");
    }

    /** Returns once it is bound or has failed to be. */
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
        own.scheduleWithFixedDelay(this::refresh, refreshMs, refreshMs, TimeUnit.MILLISECONDS);
        return bound;
    }

    private void accept(Channel channel) {
        if (connections >= CONNECTIONS_MOST) {
            channel.close();
            return;
        }
        connections++;
        channel.closeFuture().addListener(f -> connections--);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(LARGEST_REQUEST, true),
                        new StatusConnection(() -> pages));
    }

    private void refresh() {
        // A loop that is behind has one of these waiting, not one for each time that it missed.
        if (!gathering.compareAndSet(false, true)) {
            return;
        }
        try {
            requests.execute(() -> {
                Snapshot snapshot = board.snapshot();
                gathering.set(false);
                own.execute(() -> pages = Pages.of(snapshot));
            });
        } catch (RejectedExecutionException e) {
            Log.line("no further status at the end of a drain");
        }
    }

    /** Takes no more readers. */
    public void closeServer() {
        server.close();
    }

    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
