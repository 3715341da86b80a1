package burlarch.proxy;

import burlarch.proxy.ClientConnection.Activity;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Accepts client connections on all client ports, within one connection limit, and closes those that time out,
 * make room for new ones, or remain at the end of a drain. Confined to the event loop's thread.
 */
final class ClientListener {
    private static final int ACCEPT_BACKLOG = 512;
    private static final long TIMEOUT_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** An idle connection is not closed to make room before this time has passed since its last response. */
    private static final long MIN_IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Long enough for one iteration of the event loop, which accepts and reads whatever has arrived. */
    private static final long LOOP_ITERATION_MS = 2;
    /** Limits the wait for an iteration without accepts: under load, every iteration may accept some. */
    private static final int MAX_CLOSE_ATTEMPTS = 20;

    /**
     * Buffers of reads from clients. A partial line keeps the buffer of its read, so the largest size is bounded by the
     * direct memory that all connections may hold.
     */
    private static final RecvByteBufAllocator READ_BUFFERS = new AdaptiveRecvByteBufAllocator(64, 2048, 8192);

    private final EventLoop loop;
    private final ProxyClock clock;
    private final RequestReader reader;
    private final BooleanSupplier ready;
    private final int maxConnections;
    private final BodyBudget requestBudget =
            new BodyBudget(RequestCollector.MAX_HELD_BYTES, BodyBudget.MAX_EXCESS_BYTES);
    private final BodyBudget headBudget = RequestHeadMemory.newBudget();
    private final BodyBudget responseBudget;
    /** Open connections, in the order in which they were opened. */
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    private final List<Channel> serverChannels = new ArrayList<>();
    private boolean timeoutChecksScheduled;
    private boolean draining;
    private boolean closingConnections;
    /** Number of connections accepted so far. */
    private long accepted;

    /** Runs once when all connections are closed; null before {@link #closeConnections} and after the run. */
    private Runnable onAllClosed;

    ClientListener(
            EventLoop loop,
            ProxyClock clock,
            RequestTable table,
            BooleanSupplier ready,
            LongSupplier readDelayNanos,
            int maxConnections) {
        this.loop = loop;
        this.clock = clock;
        this.reader = new RequestReader(clock, table.instance(), readDelayNanos);
        this.ready = ready;
        this.responseBudget = table.answers();
        this.maxConnections = maxConnections;
    }

    /** Binds one more port. All ports share the connection limit and are drained together. */
    ChannelFuture bind(SocketAddress address, RequestHandler.Port port) {
        if (!timeoutChecksScheduled) {
            timeoutChecksScheduled = true;
            loop.scheduleWithFixedDelay(
                    this::closeOverdue,
                    TIMEOUT_CHECK_INTERVAL_NANOS,
                    TIMEOUT_CHECK_INTERVAL_NANOS,
                    TimeUnit.NANOSECONDS);
        }
        ChannelFuture binding = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, READ_BUFFERS)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted++;
                        if (connections.size() < maxConnections || closeOneToMakeRoom()) {
                            install(channel, port);
                        } else {
                            channel.close();
                        }
                    }
                })
                .bind(address);
        serverChannels.add(binding.channel());
        binding.channel().closeFuture().addListener(future -> scheduleCloseIdle());
        return binding;
    }

    /** Sets up the pipeline of an accepted connection. */
    void install(Channel channel, RequestHandler.Port port) {
        RequestHandler handler = port.open(channel);
        RequestHeadMemory headMemory = new RequestHeadMemory(headBudget);
        RequestDecoder decoder = new RequestDecoder(clock, headMemory);
        RequestCollector collector = new RequestCollector(requestBudget);
        ClientConnection connection =
                new ClientConnection(this, handler, clock, channel, decoder, collector, requestBudget, headMemory);
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), collector, connection);
        connections.add(connection);
    }

    /**
     * Closes the connection whose loss matters least, if any may be closed. Guards against hundreds of clients
     * that connect and send nothing: without a free descriptor, the next accept, connect or file open fails.
     *
     * @return whether a connection was closed
     */
    private boolean closeOneToMakeRoom() {
        ClientConnection candidate = null;
        long nowNanos = clock.nowNanos();
        for (ClientConnection connection : connections) {
            Activity activity = connection.activity();
            if (activity != Activity.BUSY
                    && (activity != Activity.IDLE || nowNanos - connection.idleSinceNanos() >= MIN_IDLE_NANOS)
                    && (candidate == null
                            || activity.compareTo(candidate.activity()) < 0
                            || activity == candidate.activity()
                                    && connection.idleSinceNanos() < candidate.idleSinceNanos())) {
                candidate = connection;
            }
        }
        if (candidate != null) {
            connections.remove(candidate);
            candidate.closeUnused();
        }
        return candidate != null;
    }

    private void closeOverdue() {
        long nowNanos = clock.nowNanos();
        for (ClientConnection connection : List.copyOf(connections)) {
            connection.closeIfOverdue(nowNanos);
        }
        if (closingConnections) {
            closeIdle();
        }
    }

    void onClosed(ClientConnection connection) {
        connections.remove(connection);
        notifyIfAllClosed();
    }

    private void notifyIfAllClosed() {
        if (closingConnections && connections.isEmpty() && !isListening() && onAllClosed != null) {
            onAllClosed.run();
            onAllClosed = null;
        }
    }

    /** Budget for response bodies; a response counts until it has been written to the client. */
    BodyBudget responseBudget() {
        return responseBudget;
    }

    RequestReader reader() {
        return reader;
    }

    boolean closingConnections() {
        return closingConnections;
    }

    /** Whether health checks should report this proxy as available. */
    boolean acceptsRequests() {
        return ready.getAsBoolean() && !draining;
    }

    /**
     * Starts a drain: health checks fail, and requests that arrive from now on are answered before the given
     * time. Open connections stay open: their clients have no other proxy to use before the next start.
     */
    void startDrain(long answerDeadlineNanos) {
        draining = true;
        reader.limitDeadlines(answerDeadlineNanos);
    }

    /**
     * Closes the listening sockets as soon as an iteration of the event loop accepts no connection. Connections
     * in the backlog may already have sent requests, and closing the socket would reset them.
     */
    void closeListeners() {
        closeListeners(accepted, MAX_CLOSE_ATTEMPTS);
    }

    private void closeListeners(long acceptedBefore, int attemptsLeft) {
        loop.schedule(
                () -> {
                    if (accepted == acceptedBefore || attemptsLeft == 0) {
                        serverChannels.forEach(Channel::close);
                    } else {
                        closeListeners(accepted, attemptsLeft - 1);
                    }
                },
                LOOP_ITERATION_MS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Closes all connections at the end of a drain. A connection with open requests is closed by its last
     * response. One without is closed after an iteration of the event loop, which reads what it has sent, and
     * after the listeners are closed, because an open listener may accept more. Once all connections are
     * closed, nothing remains to be answered: pipelined or partially received requests and unwritten responses
     * keep their connections open.
     *
     * @param action runs once when no connection and no listener is open
     */
    void closeConnections(Runnable action) {
        closingConnections = true;
        onAllClosed = action;
        scheduleCloseIdle();
    }

    private void scheduleCloseIdle() {
        if (closingConnections) {
            loop.schedule(this::closeIdle, LOOP_ITERATION_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isListening() {
        return serverChannels.stream().anyMatch(Channel::isOpen);
    }

    private void closeIdle() {
        if (isListening()) {
            return;
        }
        for (ClientConnection connection : List.copyOf(connections)) {
            if (connection.activity() == Activity.IDLE || connection.activity() == Activity.NO_REQUEST_YET) {
                connection.closeUnused();
            }
        }
        notifyIfAllClosed();
    }
}
