package burlarch.standins.fleet;

import burlarch.audit.MembershipUpdate;
import burlarch.audit.Sink;
import burlarch.standins.model.Catalog;
import burlarch.standins.model.Catalog.Lifecycle;
import burlarch.standins.model.Catalog.Member;
import burlarch.standins.model.SeededRandom;
import burlarch.standins.net.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in of the discovery service: it serves the member list and streams of changes (watches) over HTTP, with
 * one listener for each proxy. All state is confined to one event loop; methods that may be called from other
 * threads say so.
 */
final class Discovery {
    /** A watch without other data gets a blank line after this time. */
    private static final long BLANK_LINE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long FIRST_GENERATION = 41;

    /** How discovery behaves under the injected faults. */
    private enum Mode {
        UP,
        /** Accepts calls and never answers. */
        SILENT,
        /** Answers with an empty list. */
        EMPTY,
        /** Refuses connections. */
        DOWN
    }

    /** An open stream of changes to one proxy. */
    private static final class Watch {
        final Channel channel;
        final FleetPlan.ProxyPlan proxyPlan;
        long generation;
        long lastChunkNanos = System.nanoTime();
        /** Whether the next line is scheduled. */
        boolean updateScheduled;
        /** Whether the next line must hold the whole list. */
        boolean sendWholeList;

        Watch(Channel channel, FleetPlan.ProxyPlan proxyPlan, long generation) {
            this.channel = channel;
            this.proxyPlan = proxyPlan;
            this.generation = generation;
        }
    }

    private final FleetPlan plan;
    private final EventLoop loop;
    private final Sink sink;
    private final Catalog catalog;
    /** Addresses of each member by proxy name, as of its last change in the list. */
    private final Map<String, Map<String, String>> addressesByMember = new HashMap<>();
    /** Member ids sent to each proxy: those absent from a whole list are recorded as gone. */
    private final Map<String, Set<String>> sentMembers = new HashMap<>();

    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final List<Channel> listeners = new ArrayList<>();
    private final Set<Channel> channels = new HashSet<>();
    private final Set<Watch> watches = new HashSet<>();
    private Mode mode = Mode.UP;
    /** Extra delay of every answer, as the DISCOVERY_LATE fault sets it. */
    private long extraDelayNanos;
    /** When the calls accepted so far will have been processed. */
    private long busyUntilNanos = System.nanoTime();

    private long receivedCalls;

    Discovery(FleetPlan plan, EventLoop loop, Sink sink) {
        this.plan = plan;
        this.loop = loop;
        this.sink = sink;
        this.catalog = new Catalog(FIRST_GENERATION, plan.discovery().keptChanges());
        plan.proxyPlans().forEach(proxyPlan -> sentMembers.put(proxyPlan.name(), new HashSet<>()));
        loop.scheduleWithFixedDelay(
                this::sendBlankLines, BLANK_LINE_NANOS / 8, BLANK_LINE_NANOS / 8, TimeUnit.NANOSECONDS);
    }

    /**
     * Binds the listener of each proxy. Must not be called on the event loop.
     *
     * @throws IOException if an address cannot be bound; the message names it
     */
    void listen() throws IOException {
        for (FleetPlan.ProxyPlan proxyPlan : plan.proxyPlans()) {
            InetSocketAddress previous = addresses.get(proxyPlan.name());
            int port = previous == null ? proxyPlan.discoveryPort() : previous.getPort();
            ChannelFuture bindFuture = new ServerBootstrap()
                    .group(loop)
                    .channel(Transport.server())
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channels.add(channel);
                            channel.closeFuture().addListener(f -> channels.remove(channel));
                            channel.pipeline()
                                    .addLast(
                                            new HttpRequestDecoder(),
                                            new HttpObjectAggregator(8192),
                                            new CallHandler(proxyPlan));
                        }
                    })
                    .bind(plan.host(), port)
                    .awaitUninterruptibly();
            if (!bindFuture.isSuccess()) {
                throw new IOException(
                        "discovery for " + proxyPlan.name() + " cannot listen at " + plan.host()
                                + ":"
                                + port + ": " + bindFuture.cause().getMessage(),
                        bindFuture.cause());
            }
            listeners.add(bindFuture.channel());
            addresses.put(
                    proxyPlan.name(), (InetSocketAddress) bindFuture.channel().localAddress());
        }
    }

    /** Address that serves a proxy; fixed after the first {@link #listen}. */
    InetSocketAddress address(String proxyName) {
        return addresses.get(proxyName);
    }

    /** Handles the HTTP calls on one connection of a proxy. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final FleetPlan.ProxyPlan proxyPlan;

        CallHandler(FleetPlan.ProxyPlan proxyPlan) {
            this.proxyPlan = proxyPlan;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            if (mode == Mode.SILENT) {
                return;
            }
            receivedCalls++;
            if (!uri.path().equals("/catalog/members")) {
                context.writeAndFlush(HttpResponses.of("404 Not Found", "", new byte[0]));
                return;
            }
            boolean stream = uri.parameters().containsKey("stream");
            long generation = uri.parameters().containsKey("index")
                    ? parseGeneration(uri.parameters().get("index").get(0))
                    : 0;
            processInTurn(context.channel(), () -> respond(context.channel(), proxyPlan, stream, generation));
        }

        private long parseGeneration(String text) {
            return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /**
     * Processes calls of all proxies one after another. A call that would wait longer than the plan allows is
     * answered with 503 instead, which bounds the queue.
     */
    private void processInTurn(Channel channel, Runnable response) {
        long nowNanos = System.nanoTime();
        long startNanos = Math.max(nowNanos, busyUntilNanos);
        if (startNanos - nowNanos > plan.discovery().waitNanos()) {
            loop.schedule(
                    () -> {
                        channel.writeAndFlush(HttpResponses.of("503 Service Unavailable", "", new byte[0]));
                    },
                    plan.discovery().waitNanos(),
                    TimeUnit.NANOSECONDS);
            return;
        }
        busyUntilNanos = startNanos + plan.discovery().callNanos();
        loop.schedule(response, busyUntilNanos - nowNanos + extraDelayNanos, TimeUnit.NANOSECONDS);
    }

    private void respond(Channel channel, FleetPlan.ProxyPlan proxyPlan, boolean stream, long generation) {
        if (!channel.isActive() || mode == Mode.SILENT || mode == Mode.DOWN) {
            return;
        }
        if (!stream) {
            Catalog.Update update = visible(catalog.wholeList());
            byte[] body = toJson(update, proxyPlan).getBytes(StandardCharsets.UTF_8);
            channel.writeAndFlush(HttpResponses.of("200 OK", "Content-Type: application/json\r\n", body))
                    .addListener(f -> recordUpdates(proxyPlan, update, f.isSuccess()));
            return;
        }
        channel.write(Unpooled.copiedBuffer(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + "Transfer-Encoding: chunked\r\n\r\n",
                StandardCharsets.US_ASCII));
        Watch watch = new Watch(channel, proxyPlan, generation);
        watches.add(watch);
        channel.closeFuture().addListener(f -> watches.remove(watch));
        sendUpdate(watch);
    }

    /** Returns what a proxy gets in place of {@code update} in the present mode. */
    private Catalog.Update visible(Catalog.Update update) {
        return mode == Mode.EMPTY ? new Catalog.Update(update.generation(), true, List.of()) : update;
    }

    private String toJson(Catalog.Update update, FleetPlan.ProxyPlan proxyPlan) {
        return CatalogJson.of(
                update, id -> addressesByMember.getOrDefault(id, Map.of()).getOrDefault(proxyPlan.name(), ""));
    }

    /** Sends one line with all changes since the watch's generation. */
    private void sendUpdate(Watch watch) {
        watch.updateScheduled = false;
        if (!watch.channel.isActive() || mode == Mode.SILENT || mode == Mode.DOWN) {
            return;
        }
        Catalog.Update update =
                visible(watch.sendWholeList ? catalog.wholeList() : catalog.changesSince(watch.generation));
        watch.sendWholeList = false;
        watch.generation = update.generation();
        sendChunk(watch, toJson(update, watch.proxyPlan) + "\n")
                .addListener(f -> recordUpdates(watch.proxyPlan, update, f.isSuccess()));
    }

    /** Sends text as one chunk of the HTTP response. */
    private ChannelFuture sendChunk(Watch watch, String text) {
        watch.lastChunkNanos = System.nanoTime();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ByteBuf chunk = Unpooled.wrappedBuffer(
                (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII),
                bytes,
                new byte[] {'\r', '\n'});
        return watch.channel.writeAndFlush(chunk);
    }

    /** Records the membership updates that a proxy received, if the write succeeded. */
    private void recordUpdates(FleetPlan.ProxyPlan proxyPlan, Catalog.Update update, boolean written) {
        if (!written) {
            return;
        }
        long nowNanos = System.nanoTime();
        Set<String> knownMembers = sentMembers.get(proxyPlan.name());
        Set<String> listed = new HashSet<>();
        for (Member member : update.members()) {
            listed.add(member.id());
            MembershipUpdate.Stage stage =
                    switch (member.lifecycle()) {
                        case SERVING -> MembershipUpdate.Stage.SERVING;
                        case DRAINING -> MembershipUpdate.Stage.DRAINING;
                        case DELETED -> MembershipUpdate.Stage.GONE;
                    };
            sink.write(new MembershipUpdate(
                    proxyPlan.name(),
                    member.id(),
                    stage,
                    nowNanos,
                    TimeUnit.MILLISECONDS.toNanos(member.startedAtMs())));
        }
        if (update.reset()) {
            knownMembers.stream()
                    .filter(id -> !listed.contains(id))
                    .forEach(id -> sink.write(
                            new MembershipUpdate(proxyPlan.name(), id, MembershipUpdate.Stage.GONE, nowNanos, 0)));
            knownMembers.clear();
        }
        knownMembers.addAll(listed);
    }

    /** Sends a blank line on each watch that had no data for {@link #BLANK_LINE_NANOS}. */
    private void sendBlankLines() {
        long nowNanos = System.nanoTime();
        if (mode == Mode.UP || mode == Mode.EMPTY) {
            for (Watch watch : watches) {
                if (nowNanos - watch.lastChunkNanos >= BLANK_LINE_NANOS) {
                    sendChunk(watch, "\n");
                }
            }
        }
    }

    // ---- changes

    /**
     * Puts a change into the list after a delay. May be called from any thread.
     *
     * @param addresses the member's addresses by proxy name; null to keep those of before
     */
    void put(Member member, Map<String, String> addresses, long delayNanos) {
        loop.schedule(
                () -> {
                    if (addresses != null) {
                        addressesByMember.put(member.id(), addresses);
                    }
                    if (member.lifecycle() == Lifecycle.DELETED && catalog.member(member.id()) == null) {
                        return;
                    }
                    catalog.put(member);
                    for (Watch watch : watches) {
                        scheduleUpdate(watch);
                    }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    /** Schedules the next line of a watch, with the spread drawn from the seed. */
    private void scheduleUpdate(Watch watch) {
        if (!watch.updateScheduled) {
            watch.updateScheduled = true;
            double spread =
                    SeededRandom.unit(SeededRandom.hash(plan.seed() + catalog.generation(), watch.proxyPlan.name()));
            loop.schedule(
                    () -> sendUpdate(watch),
                    extraDelayNanos + (long) (spread * plan.discovery().spreadNanos()),
                    TimeUnit.NANOSECONDS);
        }
    }

    /** Returns a member of the list, or null. Must not be called on the event loop. */
    Member member(String id) {
        return loop.submit(() -> catalog.member(id)).syncUninterruptibly().getNow();
    }

    /** Returns the list as JSON for a proxy's configuration. Must not be called on the event loop. */
    String wholeListJson(FleetPlan.ProxyPlan proxyPlan) {
        return loop.submit(() -> {
                    catalog.wholeList()
                            .members()
                            .forEach(member -> sentMembers.get(proxyPlan.name()).add(member.id()));
                    return toJson(catalog.wholeList(), proxyPlan);
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Number of calls received. Must not be called on the event loop. */
    long receivedCalls() {
        return loop.submit(() -> receivedCalls).syncUninterruptibly().getNow();
    }

    // ---- faults

    /** Injects a fault and returns when it has taken effect. Must not be called on the event loop. */
    void inject(Fault fault) throws IOException {
        boolean[] wasDown = {false};
        loop.submit(() -> {
                    wasDown[0] = mode == Mode.DOWN;
                    switch (fault.kind()) {
                        case DISCOVERY_LATE -> extraDelayNanos = (long) (fault.amount() * 1e6);
                        case DISCOVERY_SILENT -> mode = Mode.SILENT;
                        case DISCOVERY_EMPTY -> changeMode(Mode.EMPTY);
                        case DISCOVERY_DOWN -> {
                            mode = Mode.DOWN;
                            listeners.forEach(Channel::close);
                            listeners.clear();
                            List.copyOf(channels).forEach(Transport::reset);
                        }
                        case DISCOVERY_HEAL -> {
                            extraDelayNanos = 0;
                            changeMode(Mode.UP);
                        }
                        default -> throw new IllegalArgumentException(fault.kind() + " is not a fault of discovery");
                    }
                })
                .syncUninterruptibly();
        if (fault.kind() == Fault.Kind.DISCOVERY_HEAL && wasDown[0]) {
            listen();
        }
    }

    /** Changes the mode and sends the whole list on every watch. */
    private void changeMode(Mode next) {
        mode = next;
        for (Watch watch : watches) {
            watch.sendWholeList = true;
            scheduleUpdate(watch);
        }
    }

    void close() {
        listeners.forEach(Channel::close);
        List.copyOf(channels).forEach(Channel::close);
    }
}
