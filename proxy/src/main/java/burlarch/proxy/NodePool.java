package burlarch.proxy;

import burlarch.decisions.Api.Limits;
import burlarch.decisions.Api.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Connection pool for HTTP connections to nodes (cache servers and the origin): opens, reuses and closes
 * them, queues calls for them and reports how each call ended. A connection carries one call at a time,
 * without pipelining. All methods run on the event loop.
 */
final class NodePool {
    /** Concurrent connects to one node: each costs the node work that it could spend on waiting calls. */
    private static final int MAX_CONCURRENT_CONNECTS = 4;

    /** Interval between two searches for connections that have been idle for too long. */
    private static final long SWEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /**
     * Delay between a response on a connection and the next call on it. A duplicate response that arrives some
     * milliseconds late does not say which call it belongs to: if the next call had been sent by then, its
     * client would be served the response to another request.
     */
    private static final long REUSE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    /** Further delay for one iteration of the event loop, which reads what arrived during the reuse delay. */
    private static final long REUSE_READ_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    /** How long a connection stays open for the response to an abandoned call, in order to be reused after it. */
    private static final long MAX_LINGER_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** One attempt of a request at a node. The pool calls {@link #ended} exactly once. */
    abstract static class Call {
        final UpstreamRequest request;
        final long giveUpAtNanos;
        /** The node in whose queue the call waits for a connection; null if it does not wait. */
        private Node queuedAt;
        /** The connection that the call was sent on; null before that. */
        private Connection connection;
        /** Fires when the call waits too long for a connection, or then for its response. */
        private ScheduledFuture<?> timer;

        private boolean finished;

        /** @param giveUpAtNanos when the pool stops waiting for a response, on the proxy's clock */
        Call(UpstreamRequest request, long giveUpAtNanos) {
            this.request = request;
            this.giveUpAtNanos = giveUpAtNanos;
        }

        /**
         * Reports the end of the call.
         *
         * @param body the response body; null unless the outcome is {@link Outcome#GOOD}
         * @param contentType of the response; null if there is no response or it names none
         */
        abstract void ended(Outcome outcome, byte[] body, String contentType);
    }

    /** The address of a node as discovery lists it, and whether the node takes new requests. */
    record Endpoint(long id, InetSocketAddress address, boolean serving) {}

    /** A listed node with its idle connections and the calls that wait for one. */
    private static final class Node {
        Endpoint endpoint;
        /** Idle connections, the most recently used one last. */
        final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();

        final ArrayDeque<Call> waitingCalls = new ArrayDeque<>();
        int connectsInProgress;
        /** How long idle connections are kept; shorter while the node is short of connection slots. */
        long maxIdleNanos = Long.MAX_VALUE;

        ScheduledFuture<?> trimTimer;

        Node(Endpoint endpoint) {
            this.endpoint = endpoint;
        }
    }

    private final EventLoop loop;
    private final ProxyClock clock;
    private final Limits limits;
    private final Bootstrap bootstrap;
    private final long idleCloseNanos;
    private final ScheduledFuture<?> idleSweep;
    private final Map<Long, Node> nodes = new HashMap<>();
    private final int maxConnections;
    private final long reuseDelayNanos;
    private final BodyBudget responseBodies = BodyBudget.boundingExcessOnly();
    private boolean connectsEagerly;
    /** Number of connections that are open or being opened. */
    private int openConnections;
    /** Connections on which the response to an abandoned call is outstanding, the longest-waiting first. */
    private final Set<Connection> lingering = new LinkedHashSet<>();

    /** @param maxConnections the bound on open connections to all nodes together */
    NodePool(EventLoop loop, ProxyClock clock, Limits limits, int maxConnections) {
        this(loop, clock, limits, maxConnections, REUSE_DELAY_NANOS);
    }

    /** @param reuseDelayNanos delay between a response on a connection and the next call on it */
    NodePool(EventLoop loop, ProxyClock clock, Limits limits, int maxConnections, long reuseDelayNanos) {
        this.loop = loop;
        this.reuseDelayNanos = reuseDelayNanos;
        this.maxConnections = maxConnections;
        this.clock = clock;
        this.limits = limits;
        // Well before the node closes it: a request written to a connection that the node has just closed may
        // have run, for all the proxy knows.
        this.idleCloseNanos = Math.min(limits.idleCloseNanos() / 2, TimeUnit.SECONDS.toNanos(6));
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        Math.max(1, TimeUnit.NANOSECONDS.toMillis(limits.connectTimeoutNanos())))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // The handlers are installed once the channel is connected, see addConnection.
                    }
                });
        this.idleSweep =
                loop.scheduleWithFixedDelay(this::closeLongIdle, SWEEP_NANOS, SWEEP_NANOS, TimeUnit.NANOSECONDS);
    }

    /**
     * From now on each completed connect starts the next one that waiting calls need. Needed for bursts of calls:
     * with no later call to start a connect, the last calls of a burst would wait for the responses to the
     * first ones.
     */
    void connectEagerly() {
        connectsEagerly = true;
    }

    /** Stops the sweep for idle connections. Open connections stay open. */
    void close() {
        idleSweep.cancel(false);
    }

    /** The budget of response bodies. */
    BodyBudget answers() {
        return responseBodies;
    }

    // ---- membership

    /**
     * Applies a change of the member list.
     *
     * @param endpoints nodes that are new or may have changed
     * @param gone ids of nodes that no longer exist
     * @param complete whether nodes that are not among the endpoints no longer exist
     */
    void update(Collection<Endpoint> endpoints, Collection<Long> gone, boolean complete) {
        if (complete) {
            for (Long id : nodes.keySet().stream()
                    .filter(id -> endpoints.stream().noneMatch(endpoint -> endpoint.id() == id))
                    .toList()) {
                remove(id);
            }
        }
        gone.forEach(this::remove);
        for (Endpoint endpoint : endpoints) {
            Node node = nodes.computeIfAbsent(endpoint.id(), id -> new Node(endpoint));
            boolean moved = !node.endpoint.address().equals(endpoint.address());
            node.endpoint = endpoint;
            if (moved || !endpoint.serving()) {
                closeIdle(node);
            }
            if (!endpoint.serving()) {
                failWaitingCalls(node);
            }
        }
    }

    private void remove(Long id) {
        Node node = nodes.remove(id);
        if (node != null) {
            node.endpoint = new Endpoint(id, node.endpoint.address(), false);
            closeIdle(node);
            failWaitingCalls(node);
        }
    }

    // ---- calls

    /**
     * Sends a call on an idle connection, or queues it for the first connection to become available and opens
     * new connections. Ends it with {@link Outcome#NOCONN} if the node is unknown or does not serve, or if no
     * connection is available within the connect time-out.
     */
    void send(Call call, long nodeId) {
        Node node = nodes.get(nodeId);
        if (node == null || !node.endpoint.serving()) {
            end(call, Outcome.NOCONN, null, null);
            return;
        }
        Connection connection = takeIdle(node);
        if (connection != null) {
            connection.write(call);
            return;
        }
        call.queuedAt = node;
        node.waitingCalls.add(call);
        long maxWaitNanos = Math.min(limits.connectTimeoutNanos(), call.giveUpAtNanos - clock.nowNanos());
        call.timer = loop.schedule(() -> end(call, Outcome.NOCONN, null, null), maxWaitNanos, TimeUnit.NANOSECONDS);
        connectForWaitingCalls(node);
    }

    /** Removes and returns the most recently used idle connection that may be reused now; null if there is none. */
    private static Connection takeIdle(Node node) {
        for (Iterator<Connection> iterator = node.idleConnections.descendingIterator(); iterator.hasNext(); ) {
            Connection connection = iterator.next();
            if (!connection.channel.isActive()) {
                iterator.remove();
            } else if (!connection.inReuseDelay) {
                iterator.remove();
                return connection;
            }
        }
        return null;
    }

    /** Ends a call with {@link Outcome#CXL}, or with {@link Outcome#NOP} if it has not been sent. */
    void cancel(Call call) {
        end(call, call.connection == null ? Outcome.NOP : Outcome.CXL, null, null);
    }

    /** Ends a call that waits for a connection with {@link Outcome#NOP}; has no effect on a call that was sent. */
    void withdraw(Call call) {
        if (call.queuedAt != null) {
            end(call, Outcome.NOP, null, null);
        }
    }

    /** Ends a call; later calls have no effect. Abandons the connection if the response is outstanding. */
    private void end(Call call, Outcome outcome, byte[] body, String contentType) {
        if (call.finished) {
            return;
        }
        call.finished = true;
        if (call.timer != null) {
            call.timer.cancel(false);
        }
        if (call.queuedAt != null) {
            call.queuedAt.waitingCalls.remove(call);
            call.queuedAt = null;
        }
        if (call.connection != null && call.connection.call == call) {
            call.connection.abandon();
        }
        call.ended(outcome, body, contentType);
    }

    /**
     * Opens connections for the waiting calls of a node. Connections in their reuse delay are counted as
     * available: they take calls sooner than new connections would.
     */
    private void connectForWaitingCalls(Node node) {
        if (node.waitingCalls.isEmpty()) {
            return;
        }
        int reusableSoon = (int) node.idleConnections.stream()
                .filter(connection -> connection.inReuseDelay)
                .count();
        while (node.connectsInProgress < Math.min(MAX_CONCURRENT_CONNECTS, node.waitingCalls.size() - reusableSoon)
                && makeRoomForConnection()) {
            node.connectsInProgress++;
            openConnections++;
            InetSocketAddress address = node.endpoint.address();
            ChannelFuture connect = bootstrap.connect(address);
            connect.channel().closeFuture().addListener(f -> connectionClosed());
            connect.addListener((ChannelFuture f) -> connected(node, address, f));
        }
    }

    /**
     * Whether one more connection may be opened. At the bound, closes the longest-lingering connection, or
     * else the one that has been idle longest.
     */
    private boolean makeRoomForConnection() {
        if (openConnections < maxConnections) {
            return true;
        }
        Connection evicted = lingering.stream().findFirst().orElseGet(() -> nodes.values().stream()
                .map(node -> node.idleConnections.peek())
                .filter(c -> c != null)
                .min(Comparator.comparingLong(c -> c.idleSinceNanos))
                .orElse(null));
        if (evicted != null) {
            evicted.node.idleConnections.remove(evicted);
            lingering.remove(evicted);
            evicted.channel.close();
        }
        return openConnections < maxConnections;
    }

    /** A connection has closed: opens another one if calls may have waited because of the bound. */
    private void connectionClosed() {
        if (openConnections-- >= maxConnections) {
            // Deferred: the caller that closed the connection may be iterating over the state changed here.
            loop.execute(() -> nodes.values().forEach(this::connectForWaitingCalls));
        }
    }

    private void connected(Node node, InetSocketAddress address, ChannelFuture future) {
        node.connectsInProgress--;
        if (!future.isSuccess()) {
            Call longestWaiting = node.waitingCalls.poll();
            if (longestWaiting != null) {
                end(longestWaiting, Outcome.NOCONN, null, null);
            }
            connectForWaitingCalls(node);
            return;
        }
        addConnection(node, address, future.channel());
        if (connectsEagerly) {
            connectForWaitingCalls(node);
        }
    }

    /** Installs the handlers on a connected channel and gives it the first waiting call. */
    private void addConnection(Node node, InetSocketAddress address, Channel channel) {
        Connection connection = new Connection(node, address, channel);
        channel.pipeline()
                .addLast(
                        new HttpRequestEncoder(),
                        connection.decoder,
                        new ResponseCollector(responseBodies),
                        connection);
        connection.takeNextCall();
    }

    /** Adds a channel that was connected elsewhere as a connection to the node. */
    void adopt(long nodeId, Channel channel) {
        Node node = nodes.get(nodeId);
        addConnection(node, node.endpoint.address(), channel);
    }

    private void failWaitingCalls(Node node) {
        for (Call call = node.waitingCalls.poll(); call != null; call = node.waitingCalls.poll()) {
            end(call, Outcome.NOCONN, null, null);
        }
    }

    // ---- idle connections

    /** Closes all idle connections to a node. */
    void closeIdleConnections(long nodeId) {
        Node node = nodes.get(nodeId);
        if (node != null) {
            closeIdle(node);
        }
    }

    /** From now on closes connections to a node that have been idle for {@code idleNanos}. */
    void trim(long nodeId, long idleNanos) {
        Node node = nodes.get(nodeId);
        if (node != null) {
            if (node.trimTimer != null && idleNanos < node.maxIdleNanos) {
                node.trimTimer.cancel(false);
                node.trimTimer = null;
            }
            node.maxIdleNanos = idleNanos;
            trim(node);
        }
    }

    private void trim(Node node) {
        if (node.maxIdleNanos >= idleCloseNanos) {
            return;
        }
        long nowNanos = clock.nowNanos();
        while (!node.idleConnections.isEmpty()
                && nowNanos - node.idleConnections.peek().idleSinceNanos >= node.maxIdleNanos) {
            node.idleConnections.poll().channel.close();
        }
        if (!node.idleConnections.isEmpty() && node.trimTimer == null) {
            node.trimTimer = loop.schedule(
                    () -> {
                        node.trimTimer = null;
                        trim(node);
                    },
                    node.idleConnections.peek().idleSinceNanos + node.maxIdleNanos - nowNanos,
                    TimeUnit.NANOSECONDS);
        }
    }

    private static void closeIdle(Node node) {
        for (Connection c = node.idleConnections.poll(); c != null; c = node.idleConnections.poll()) {
            c.channel.close();
        }
    }

    private void closeLongIdle() {
        long nowNanos = clock.nowNanos();
        for (Node node : nodes.values()) {
            for (Iterator<Connection> iterator = node.idleConnections.iterator(); iterator.hasNext(); ) {
                Connection connection = iterator.next();
                if (nowNanos - connection.idleSinceNanos >= idleCloseNanos) {
                    iterator.remove();
                    connection.channel.close();
                }
            }
        }
    }

    /**
     * One connection to a node. It is idle, carries a call, or lingers, which means that it waits for the
     * response to an abandoned call.
     */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        final Node node;
        final InetSocketAddress address;
        final Channel channel;
        final ResponseDecoder decoder = new ResponseDecoder(() -> this.awaitsResponse);
        /** The call that waits for its response here; null if there is none. */
        Call call;
        /** Whether a response was received in the current read. */
        boolean responseReceived;
        /** Whether the connection may carry another call after that response. */
        boolean reusable;
        /** Whether a response was received on this connection before. */
        boolean respondedBefore;
        /** Whether the call's request has been written in full. */
        boolean written;

        /** Whether a request was sent whose response is outstanding, also if its call has been abandoned. */
        boolean awaitsResponse;
        /** Whether the connection is in its reuse delay: idle, but not yet available for a call. */
        boolean inReuseDelay;

        long idleSinceNanos;
        ScheduledFuture<?> lingerTimer;

        Connection(Node node, InetSocketAddress address, Channel channel) {
            this.node = node;
            this.address = address;
            this.channel = channel;
        }

        /** Whether the connection is open and leads to the current address of a serving node. */
        private boolean isUsable() {
            return channel.isActive() && node.endpoint.serving() && address.equals(node.endpoint.address());
        }

        private void discard() {
            channel.close();
            connectForWaitingCalls(node);
        }

        /** Becomes idle after a response, and available for a call after the reuse delay. */
        private void startReuseDelay() {
            if (!isUsable()) {
                discard();
                return;
            }
            inReuseDelay = true;
            idleSinceNanos = clock.nowNanos();
            node.idleConnections.add(this);
            loop.schedule(
                    () -> loop.schedule(this::endReuseDelay, REUSE_READ_DELAY_NANOS, TimeUnit.NANOSECONDS),
                    reuseDelayNanos,
                    TimeUnit.NANOSECONDS);
            trim(node);
        }

        private void endReuseDelay() {
            inReuseDelay = false;
            if (!node.waitingCalls.isEmpty() && node.idleConnections.remove(this)) {
                takeNextCall();
            }
        }

        /** Takes the next waiting call, or becomes idle. */
        void takeNextCall() {
            if (!isUsable()) {
                discard();
                return;
            }
            Call next = node.waitingCalls.poll();
            if (next != null) {
                write(next);
            } else {
                idleSinceNanos = clock.nowNanos();
                node.idleConnections.add(this);
                trim(node);
            }
        }

        /** Sends a call, with a timer for its response. */
        void write(Call next) {
            next.queuedAt = null;
            if (next.timer != null) {
                next.timer.cancel(false);
            }
            long remainingNanos = next.giveUpAtNanos - clock.nowNanos();
            if (remainingNanos <= 0) {
                // The call's time ran out while it waited for a connection: it must not be sent any more.
                end(next, Outcome.NOCONN, null, null);
                takeNextCall();
                return;
            }
            call = next;
            next.connection = this;
            written = false;
            awaitsResponse = true;
            next.timer = loop.schedule(
                    () -> end(next, written ? Outcome.LATE : Outcome.NOCONN, null, null),
                    remainingNanos,
                    TimeUnit.NANOSECONDS);
            channel.writeAndFlush(NodeMessages.request(next.request, address, remainingNanos))
                    .addListener(f -> {
                        if (f.isSuccess()) {
                            written = true;
                        } else {
                            channel.close();
                            end(next, Outcome.NOCONN, null, null);
                        }
                    });
        }

        /**
         * Detaches the call, as nobody waits for its response any more. Closing the connection would not stop the
         * work at the node and would lose the connection, so it lingers. It is closed where the settings forbid
         * two concurrent attempts of a request, or where the request has not been written in full.
         */
        void abandon() {
            call = null;
            if (!awaitsResponse) {
                return;
            }
            if (written && limits.duplicates()) {
                lingering.add(this);
                lingerTimer = loop.schedule(() -> channel.close(), MAX_LINGER_NANOS, TimeUnit.NANOSECONDS);
            } else {
                channel.close();
            }
        }

        private void stopLingering() {
            if (lingerTimer != null) {
                lingerTimer.cancel(false);
                lingerTimer = null;
                lingering.remove(this);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            boolean malformed = response.decoderResult().isFailure();
            if (!malformed
                    && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && response.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
                return;
            }
            // A response that arrives before the request has been written in full belongs to something else.
            if (!awaitsResponse || malformed || !written) {
                reusable = false;
                channel.close();
                return;
            }
            awaitsResponse = false;
            stopLingering();
            responseReceived = true;
            boolean firstResponse = !respondedBefore;
            respondedBefore = true;
            reusable = HttpUtil.isKeepAlive(response) && !decoder.hasMore();
            Call answeredCall = call;
            call = null;
            if (answeredCall != null) {
                Outcome outcome = NodeMessages.outcome(response, firstResponse);
                byte[] body = outcome == Outcome.GOOD ? ByteBufUtil.getBytes(response.content()) : null;
                end(answeredCall, outcome, body, response.headers().get(HttpHeaderNames.CONTENT_TYPE));
            }
        }

        /** Releases the connection for reuse. Not before: only now all bytes behind the response have been seen. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (responseReceived) {
                responseReceived = false;
                if (reusable) {
                    startReuseDelay();
                } else {
                    discard();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            node.idleConnections.remove(this);
            stopLingering();
            awaitsResponse = false;
            if (call != null) {
                end(call, written ? Outcome.RST : Outcome.NOCONN, null, null);
            }
            // This connection will not become free for a waiting call. Without new connects, the calls beyond
            // MAX_CONCURRENT_CONNECTS would wait until they time out.
            connectForWaitingCalls(node);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }
    }
}
