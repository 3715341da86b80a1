package burlarch.proxy;

import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Server;
import burlarch.decisions.Api.Stage;
import burlarch.settings.LiteralAddresses;
import burlarch.wire.Instance;
import burlarch.wire.Json;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Client of the discovery service: keeps the list of member nodes up to date, from the list that the
 * configuration restores and then from a watch, which is an HTTP response that streams changes. Lists go to
 * the node pool, the decision module and the observer. When a watch ends, the module receives
 * {@link ListKind#UNAVAILABLE} and asks for the next watch after a backoff; where lists are pushed by a local
 * agent, this class reconnects by itself. All methods run on the event loop.
 */
public final class MembershipWatch {
    /** One listed server. {@code id} is the number by which the decision module and the node pool know it. */
    public record Member(long id, String instanceId, String hostPort, String lifecycle) {
        /** Whether discovery has listed the server as deleted. */
        public boolean gone() {
            return lifecycle.equals("DELETED");
        }
    }

    /** Listener for member lists that take effect, restored ones included. Called on the event loop. */
    public interface Observer {
        /**
         * A list has taken effect.
         *
         * @param complete whether servers that are not among the members no longer exist
         */
        void listed(List<Member> members, boolean complete);

        /** Discovery has sent a list, or a heartbeat, which means that nothing has changed. */
        void discoveryAnswered();
    }

    private static final int MAX_LIST_BYTES = 4 << 20;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    /**
     * Delay before reconnecting to the local agent. The agent's changes count as known to the proxy even while no
     * watch is open; the delay is well within the 750 ms that the rules allow for that.
     */
    private static final long AGENT_RETRY_DELAY_MS = 200;
    /** Time-out for the response head: discovery works through its calls one by one. */
    private static final long RESPONSE_HEAD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    /**
     * Time-out for the next list or heartbeat. Discovery writes a line every 2 s, and TCP does not report a peer
     * that has vanished. Changes that a silent watch misses count as known to the proxy 6 s after it fell silent:
     * half of that is left for the backoff and a new watch.
     */
    private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Grace for one iteration of the event loop, which may be late and have unread bytes when the time-out fires. */
    private static final long UNREAD_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final EventLoop loop;
    private final ProxyClock clock;
    private InetSocketAddress discoveryAddress;
    private final RequestTable requestTable;
    private final NodePool nodePool;
    private final Instance instance;
    private final NodeIds nodeIds = new NodeIds();
    /** The version of the last list; -1 to request the whole list. */
    private long generation;

    private Watch watch;
    private boolean closed;
    /** Null if there is none. */
    private Observer observer;
    /** Runs once, when a watch has delivered its first list. */
    private Runnable onFirstList = () -> {};

    MembershipWatch(
            EventLoop loop,
            ProxyClock clock,
            InetSocketAddress discoveryAddress,
            RequestTable requestTable,
            NodePool nodePool) {
        this.loop = loop;
        this.clock = clock;
        this.discoveryAddress = discoveryAddress;
        this.requestTable = requestTable;
        this.nodePool = nodePool;
        this.instance = requestTable.instance();
    }

    void observe(Observer newObserver) {
        observer = newObserver;
    }

    /** @param action runs once, when a watch has delivered its first list */
    void onFirstList(Runnable action) {
        onFirstList = action;
    }

    /** Applies the list that the configuration contains, if any. */
    void restore(Json knownMembers) {
        if (knownMembers.isObject()) {
            try {
                apply(knownMembers, ListKind.RESTORED);
            } catch (IOException e) {
                Log.line("list of known members is malformed: " + e.getMessage());
            }
        }
    }

    /** Opens a watch, unless one is open or being opened. */
    void start() {
        if (watch == null && !closed) {
            watch = new Watch();
            watch.open();
        }
    }

    /**
     * Watches discovery at another address from now on, without waiting for a backoff. Requests the whole list, as
     * versions may differ between addresses.
     */
    void move(InetSocketAddress address) {
        if (!address.equals(discoveryAddress)) {
            discoveryAddress = address;
            generation = -1;
            if (watch != null) {
                watch.end(null);
            }
        }
        start();
    }

    void close() {
        closed = true;
        if (watch != null) {
            watch.end(null);
        }
    }

    // ---- lists

    /** Parses the whole list before it takes effect: a malformed entry leaves the previous list in place. */
    private void apply(Json list, ListKind kind) throws IOException {
        if (!list.get("instances").isList()) {
            throw new IOException("list has no array named instances");
        }
        List<Server> servers = new ArrayList<>();
        List<NodePool.Endpoint> endpoints = new ArrayList<>();
        List<Long> gone = new ArrayList<>();
        List<Member> members = new ArrayList<>();
        for (Json entry : list.get("instances").items()) {
            Server server = toServer(entry);
            servers.add(server);
            if (observer != null) {
                members.add(new Member(
                        server.id(),
                        entry.get("instanceId").text(""),
                        entry.get("hostPort").text(""),
                        entry.get("lifecycle").text("")));
            }
            if (server.stage() == Stage.OUT) {
                gone.add(server.id());
            } else {
                endpoints.add(new NodePool.Endpoint(server.id(), address(entry), server.stage() == Stage.IN));
            }
        }
        generation = list.get("generation").integer(generation);
        boolean complete = kind != ListKind.UPDATE;
        nodePool.update(endpoints, gone, complete);
        if (observer != null) {
            observer.listed(members, complete);
        }
        if (complete) {
            nodeIds.forget(id -> endpoints.stream().noneMatch(endpoint -> endpoint.id() == id));
        } else if (!gone.isEmpty()) {
            nodeIds.forget(gone::contains);
        }
        requestTable.notifyModule(nowNanos -> instance.policy.onList(nowNanos, kind, servers));
    }

    private Server toServer(Json entry) throws IOException {
        String name = entry.get("instanceId").text("");
        if (name.isEmpty()) {
            throw new IOException("list entry has no instanceId");
        }
        Stage stage =
                switch (entry.get("lifecycle").text("")) {
                    case "SERVING" -> Stage.IN;
                    case "DELETED" -> Stage.OUT;
                    default -> Stage.LAME;
                };
        return new Server(
                nodeIds.of(name),
                clock.bootNanos(entry.get("startedAtMs").integer(0)),
                Math.max(1e-9, entry.get("weight").number(1)),
                (int) entry.get("cell").integer(0),
                stage,
                Instance.indexOf(instance.models, entry.get("machineType").text(null)),
                Instance.indexOf(instance.zones, entry.get("zone").text(null)));
    }

    private static InetSocketAddress address(Json entry) throws IOException {
        try {
            return LiteralAddresses.parse(entry.get("hostPort").text(""));
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Applies one list of a watch. */
    private void applyUpdate(String text) {
        try {
            Json list = Json.parse(text.getBytes(StandardCharsets.UTF_8));
            apply(list, list.get("reset").flag(false) ? ListKind.REPLACE : ListKind.UPDATE);
            Runnable action = onFirstList;
            onFirstList = () -> {};
            action.run();
        } catch (IOException | RuntimeException e) {
            logSkipped(String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    private static void logSkipped(String reason) {
        Log.line("skipped malformed list from discovery: " + reason);
    }

    /** One watch, from its connect to its end. */
    private final class Watch {
        private final InetSocketAddress address = discoveryAddress;
        private Channel channel;
        private ScheduledFuture<?> silenceTimer;
        private boolean ended;

        void open() {
            restartSilenceTimer(RESPONSE_HEAD_TIMEOUT_NANOS);
            ChannelFuture connect = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel socketChannel) {
                            socketChannel.pipeline().addLast(new HttpClientCodec(), new BodyReader(), new ListReader());
                        }
                    })
                    .connect(address);
            channel = connect.channel();
            connect.addListener(f -> {
                if (f.isSuccess()) {
                    sendRequest();
                } else {
                    end("no connection");
                }
            });
        }

        private void sendRequest() {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    "/catalog/members?stream=1" + (generation < 0 ? "" : "&index=" + generation),
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, NodeMessages.hostHeader(address));
            channel.writeAndFlush(request);
        }

        /** Restarts the silence time-out, on the response head, a whole list or a heartbeat, not on part of a list. */
        private void recordActivity() {
            if (!ended) {
                restartSilenceTimer(SILENCE_TIMEOUT_NANOS);
            }
        }

        private void restartSilenceTimer(long timeoutNanos) {
            if (silenceTimer != null) {
                silenceTimer.cancel(false);
            }
            silenceTimer = loop.schedule(
                    () -> {
                        silenceTimer = loop.schedule(() -> end("silent"), UNREAD_GRACE_NANOS, TimeUnit.NANOSECONDS);
                    },
                    timeoutNanos,
                    TimeUnit.NANOSECONDS);
        }

        /**
         * Closes the watch; later calls have no effect.
         *
         * @param reason for the log; null if this proxy closes the watch on purpose
         */
        void end(String reason) {
            if (ended) {
                return;
            }
            ended = true;
            watch = null;
            silenceTimer.cancel(false);
            channel.close();
            if (reason != null) {
                Log.line("watch ended: " + reason);
                requestTable.notifyModule(
                        nowNanos -> instance.policy.onList(nowNanos, ListKind.UNAVAILABLE, List.of()));
                if (!instance.settings.asksForList()) {
                    // Where lists are pushed, the module does not ask for them. The agent is on this machine.
                    loop.schedule(MembershipWatch.this::start, AGENT_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
                }
            }
        }

        /** Passes on the body bytes of a response with status 200; any other response ends the watch. */
        private final class BodyReader extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof HttpResponse response
                        && (response.status().code() != 200
                                || response.decoderResult().isFailure())) {
                    end("unexpected status " + response.status().code());
                } else if (message instanceof HttpResponse) {
                    recordActivity();
                }
                if (ended || !(message instanceof HttpContent content)) {
                    ReferenceCountUtil.release(message);
                    return;
                }
                context.fireChannelRead(content.content());
                if (message instanceof LastHttpContent) {
                    end("over");
                }
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                end("connection ended");
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                end(String.valueOf(cause.getMessage()));
            }
        }

        /** Splits the body into lists and heartbeats, and handles them in their order. */
        private final class ListReader extends SimpleChannelInboundHandler<ByteBuf> implements JsonObjectFramer.Sink {
            private final JsonObjectFramer framer = new JsonObjectFramer(MAX_LIST_BYTES, this);

            @Override
            protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
                while (!ended && bytes.isReadable()) {
                    if (!framer.take(bytes.readByte())) {
                        end("list longer than " + MAX_LIST_BYTES + " bytes");
                    }
                }
            }

            @Override
            public void object(String text) {
                applyUpdate(text);
                heartbeat();
            }

            @Override
            public void heartbeat() {
                recordActivity();
                if (observer != null) {
                    observer.discoveryAnswered();
                }
            }

            @Override
            public void malformed() {
                logSkipped("not a complete JSON object");
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                end(String.valueOf(cause.getMessage()));
            }
        }
    }
}
