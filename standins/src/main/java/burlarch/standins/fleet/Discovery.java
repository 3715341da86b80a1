package burlarch.standins.fleet;

import burlarch.audit.MembershipUpdate;
import burlarch.audit.Sink;
import burlarch.standins.model.Catalog;
import burlarch.standins.model.Catalog.Lifecycle;
import burlarch.standins.model.Catalog.Member;
import burlarch.standins.model.Draw;
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
 * Discovery as the protocol page has it: the list, and watches with versions and blank lines, at an address
 * for each vantage. Confined to one loop, but for what says otherwise.
 */
final class Discovery {
    private static final long BLANK_LINE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long FIRST_GENERATION = 41;

    /** What it does instead of its work. */
    private enum Mode {
        UP,
        SILENT,
        EMPTY,
        DOWN
    }

    /** A watch that is open. */
    private static final class Watch {
        final Channel channel;
        final FleetPlan.Vantage vantage;
        long generation;
        long lastLineNanos = System.nanoTime();
        boolean due;
        boolean resetNext;

        Watch(Channel channel, FleetPlan.Vantage vantage, long generation) {
            this.channel = channel;
            this.vantage = vantage;
            this.generation = generation;
        }
    }

    private final FleetPlan plan;
    private final EventLoop loop;
    private final Sink sink;
    private final Catalog catalog;
    /** Where a member is reached from each vantage, as it was when it was last put in the list. */
    private final Map<String, Map<String, String>> advertised = new HashMap<>();
    /** What each vantage has been told of, to know what a whole list leaves out. */
    private final Map<String, Set<String>> told = new HashMap<>();

    private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
    private final List<Channel> listeners = new ArrayList<>();
    private final Set<Channel> channels = new HashSet<>();
    private final Set<Watch> watches = new HashSet<>();
    private Mode mode = Mode.UP;
    private long lateNanos;
    /** When it will have worked through the calls that it has taken. */
    private long busyUntilNanos = System.nanoTime();

    private long calls;

    Discovery(FleetPlan plan, EventLoop loop, Sink sink) {
        this.plan = plan;
        this.loop = loop;
        this.sink = sink;
        this.catalog = new Catalog(FIRST_GENERATION, plan.discovery().keptChanges());
        plan.vantages().forEach(vantage -> told.put(vantage.name(), new HashSet<>()));
        loop.scheduleWithFixedDelay(this::blankLines, BLANK_LINE_NANOS / 8, BLANK_LINE_NANOS / 8, TimeUnit.NANOSECONDS);
    }

    /** Not from the loop. @throws IOException where a port can't be had, naming it */
    void listen() throws IOException {
        for (FleetPlan.Vantage vantage : plan.vantages()) {
            InetSocketAddress old = addresses.get(vantage.name());
            int port = old == null ? vantage.discoveryPort() : old.getPort();
            ChannelFuture bound = new ServerBootstrap()
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
                                            new Call(vantage));
                        }
                    })
                    .bind(plan.host(), port)
                    .awaitUninterruptibly();
            if (!bound.isSuccess()) {
                throw new IOException(
                        "discovery for " + vantage.name() + " cannot listen at " + plan.host()
                                + ":"
                                + port + ": " + bound.cause().getMessage(),
                        bound.cause());
            }
            listeners.add(bound.channel());
            addresses.put(vantage.name(), (InetSocketAddress) bound.channel().localAddress());
        }
    }

    /** Where it listens for a vantage; fixed once it has listened. */
    InetSocketAddress address(String vantage) {
        return addresses.get(vantage);
    }

    private final class Call extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final FleetPlan.Vantage vantage;

        Call(FleetPlan.Vantage vantage) {
            this.vantage = vantage;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            if (mode == Mode.SILENT) {
                return;
            }
            calls++;
            if (!uri.path().equals("/catalog/members")) {
                context.writeAndFlush(Answers.of("404 Not Found", "", new byte[0]));
                return;
            }
            boolean stream = uri.parameters().containsKey("stream");
            long index = uri.parameters().containsKey("index")
                    ? index(uri.parameters().get("index").get(0))
                    : 0;
            inTurn(context.channel(), () -> answer(context.channel(), vantage, stream, index));
        }

        private long index(String text) {
            return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /**
     * One service for all proxies: a call has its turn once those before it are done, or waits too long and
     * fails. What waits is bounded by that.
     */
    private void inTurn(Channel channel, Runnable answer) {
        long nowNanos = System.nanoTime();
        long turnNanos = Math.max(nowNanos, busyUntilNanos);
        if (turnNanos - nowNanos > plan.discovery().waitNanos()) {
            loop.schedule(
                    () -> {
                        channel.writeAndFlush(Answers.of("503 Service Unavailable", "", new byte[0]));
                    },
                    plan.discovery().waitNanos(),
                    TimeUnit.NANOSECONDS);
            return;
        }
        busyUntilNanos = turnNanos + plan.discovery().callNanos();
        loop.schedule(answer, busyUntilNanos - nowNanos + lateNanos, TimeUnit.NANOSECONDS);
    }

    private void answer(Channel channel, FleetPlan.Vantage vantage, boolean stream, long index) {
        if (!channel.isActive() || mode == Mode.SILENT || mode == Mode.DOWN) {
            return;
        }
        if (!stream) {
            Catalog.Update update = seen(catalog.whole());
            byte[] body = text(update, vantage).getBytes(StandardCharsets.UTF_8);
            channel.writeAndFlush(Answers.of("200 OK", "Content-Type: application/json\r\n", body))
                    .addListener(f -> told(vantage, update, f.isSuccess()));
            return;
        }
        channel.write(Unpooled.copiedBuffer(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + "Transfer-Encoding: chunked\r\n\r\n",
                StandardCharsets.US_ASCII));
        Watch watch = new Watch(channel, vantage, index);
        watches.add(watch);
        channel.closeFuture().addListener(f -> watches.remove(watch));
        line(watch);
    }

    private Catalog.Update seen(Catalog.Update update) {
        return mode == Mode.EMPTY ? new Catalog.Update(update.generation(), true, List.of()) : update;
    }

    private String text(Catalog.Update update, FleetPlan.Vantage vantage) {
        return CatalogJson.of(
                update, id -> advertised.getOrDefault(id, Map.of()).getOrDefault(vantage.name(), ""));
    }

    /** One line with all that the watch has not been told. */
    private void line(Watch watch) {
        watch.due = false;
        if (!watch.channel.isActive() || mode == Mode.SILENT || mode == Mode.DOWN) {
            return;
        }
        Catalog.Update update = seen(watch.resetNext ? catalog.whole() : catalog.since(watch.generation));
        watch.resetNext = false;
        watch.generation = update.generation();
        chunk(watch, text(update, watch.vantage) + "\n").addListener(f -> told(watch.vantage, update, f.isSuccess()));
    }

    private ChannelFuture chunk(Watch watch, String text) {
        watch.lastLineNanos = System.nanoTime();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ByteBuf chunk = Unpooled.wrappedBuffer(
                (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII),
                bytes,
                new byte[] {'\r', '\n'});
        return watch.channel.writeAndFlush(chunk);
    }

    private void told(FleetPlan.Vantage vantage, Catalog.Update update, boolean written) {
        if (!written) {
            return;
        }
        long nowNanos = System.nanoTime();
        Set<String> known = told.get(vantage.name());
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
                    vantage.name(), member.id(), stage, nowNanos, TimeUnit.MILLISECONDS.toNanos(member.startedAtMs())));
        }
        if (update.reset()) {
            known.stream()
                    .filter(id -> !listed.contains(id))
                    .forEach(id -> sink.write(
                            new MembershipUpdate(vantage.name(), id, MembershipUpdate.Stage.GONE, nowNanos, 0)));
            known.clear();
        }
        known.addAll(listed);
    }

    private void blankLines() {
        long nowNanos = System.nanoTime();
        if (mode == Mode.UP || mode == Mode.EMPTY) {
            for (Watch watch : watches) {
                if (nowNanos - watch.lastLineNanos >= BLANK_LINE_NANOS) {
                    chunk(watch, "\n");
                }
            }
        }
    }

    // ---- changes

    /**
     * From any thread: what is in the list after the notice time.
     *
     * @param addresses by vantage, null to keep
     */
    void put(Member member, Map<String, String> addresses, long delayNanos) {
        loop.schedule(
                () -> {
                    if (addresses != null) {
                        advertised.put(member.id(), addresses);
                    }
                    if (member.lifecycle() == Lifecycle.DELETED && catalog.member(member.id()) == null) {
                        return;
                    }
                    catalog.put(member);
                    for (Watch watch : watches) {
                        tellLater(watch);
                    }
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    private void tellLater(Watch watch) {
        if (!watch.due) {
            watch.due = true;
            double spread = Draw.unit(Draw.hash(plan.seed() + catalog.generation(), watch.vantage.name()));
            loop.schedule(
                    () -> line(watch),
                    lateNanos + (long) (spread * plan.discovery().spreadNanos()),
                    TimeUnit.NANOSECONDS);
        }
    }

    Member member(String id) {
        return loop.submit(() -> catalog.member(id)).syncUninterruptibly().getNow();
    }

    /** The list as a proxy's configuration brings it. */
    String known(FleetPlan.Vantage vantage) {
        return loop.submit(() -> {
                    catalog.whole().members().forEach(member -> told.get(vantage.name())
                            .add(member.id()));
                    return text(catalog.whole(), vantage);
                })
                .syncUninterruptibly()
                .getNow();
    }

    long calls() {
        return loop.submit(() -> calls).syncUninterruptibly().getNow();
    }

    // ---- faults

    /** Not from the loop; done when this returns. */
    void inject(Fault fault) throws IOException {
        boolean[] wasDown = {false};
        loop.submit(() -> {
                    wasDown[0] = mode == Mode.DOWN;
                    switch (fault.kind()) {
                        case DISCOVERY_LATE -> lateNanos = (long) (fault.amount() * 1e6);
                        case DISCOVERY_SILENT -> mode = Mode.SILENT;
                        case DISCOVERY_EMPTY -> turn(Mode.EMPTY);
                        case DISCOVERY_DOWN -> {
                            mode = Mode.DOWN;
                            listeners.forEach(Channel::close);
                            listeners.clear();
                            List.copyOf(channels).forEach(Transport::reset);
                        }
                        case DISCOVERY_HEAL -> {
                            lateNanos = 0;
                            turn(Mode.UP);
                        }
                        default -> throw new IllegalArgumentException(fault.kind() + " is not discovery's");
                    }
                })
                .syncUninterruptibly();
        if (fault.kind() == Fault.Kind.DISCOVERY_HEAL && wasDown[0]) {
            listen();
        }
    }

    private void turn(Mode next) {
        mode = next;
        for (Watch watch : watches) {
            watch.resetNext = true;
            tellLater(watch);
        }
    }

    void close() {
        listeners.forEach(Channel::close);
        List.copyOf(channels).forEach(Channel::close);
    }
}
