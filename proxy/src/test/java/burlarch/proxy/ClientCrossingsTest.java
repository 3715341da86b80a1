package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.decisions.Api.Limits;
import burlarch.wire.Json;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What crosses at a client's connection, step by step: no step happens before the test says so. */
@Timeout(60)
class ClientCrossingsTest {
    private static final long LONG_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final Limits LIMITS = new Limits(1, false, false, true, 0, LONG_NANOS, LONG_NANOS);

    private final List<String> begun = new ArrayList<>();
    private final List<RequestHandler.Reply> open = new ArrayList<>();
    private final List<String> left = new ArrayList<>();
    private final Held held = new Held();
    private EmbeddedChannel channel;
    private ClientListener listener;

    /** The client's socket: keeps what is written to it until it is let through. */
    private static final class Held extends ChannelOutboundHandlerAdapter {
        final ArrayDeque<ChannelPromise> promises = new ArrayDeque<>();
        final StringBuilder written = new StringBuilder();
        boolean holds;

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ByteBuf bytes = (ByteBuf) message;
            written.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes.release();
            if (holds) {
                promises.add(promise);
            } else {
                promise.setSuccess();
            }
        }

        void letThrough() {
            holds = false;
            for (ChannelPromise next = promises.poll(); next != null; next = promises.poll()) {
                next.trySuccess();
            }
        }
    }

    private final class Handler implements RequestHandler {
        @Override
        public String allow() {
            return "GET";
        }

        @Override
        public Runnable handle(FullHttpRequest request, long readNanos, Reply reply) {
            begun.add(request.uri());
            open.add(reply);
            String uri = request.uri();
            return () -> left.add(uri);
        }
    }

    @BeforeEach
    void connect() {
        channel = new EmbeddedChannel(held);
        EventLoop loop = channel.eventLoop();
        ProxyClock clock = new ProxyClock();
        NodePool pool = new NodePool(loop, clock, LIMITS, 8);
        RequestTable table = new RequestTable(loop, clock, pool, settings(), 7);
        listener = new ClientListener(loop, clock, table, () -> true, () -> 0, 8);
        listener.install(channel, (Channel c) -> new Handler());
    }

    private static Json settings() {
        try {
            return Fixture.settings();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The turn of the loop after which a drain ends what carries nothing. */
    private void aTurnPasses() {
        channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private void asks(String... keys) {
        StringBuilder text = new StringBuilder();
        for (String key : keys) {
            text.append("GET /look/").append(key).append(" HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private int answers() {
        return held.written.toString().split("HTTP/1.1 ", -1).length - 1;
    }

    /** Else a client that does not read has its answers pile up here. */
    @Test
    void theNextRequestBeginsWhenTheAnswerBeforeItIsOut() {
        asks("a", "b");
        held.holds = true;
        open.get(0).served(new byte[] {'v'}, null);
        // What comes meanwhile is no reason to go on either.
        asks("c");
        channel.runPendingTasks();
        assertEquals(List.of("/look/a"), begun);
        held.letThrough();
        channel.runPendingTasks();
        assertEquals(List.of("/look/a", "/look/b"), begun);
    }

    @Test
    void aClientThatLeavesBeforeItsAnswerIsOutHasNoFurtherRequestBegun() {
        asks("a", "b", "c");
        held.holds = true;
        open.get(0).served(new byte[] {'v'}, null);
        channel.close();
        held.letThrough();
        channel.runPendingTasks();
        assertEquals(List.of("/look/a"), begun);
        assertTrue(left.isEmpty(), "it has had its answer");
    }

    @Test
    void aClientThatLeavesWhileItsRequestIsOutGivesThatUpAndTheNextIsNotBegun() {
        asks("a", "b");
        channel.close();
        channel.runPendingTasks();
        assertEquals(List.of("/look/a"), begun);
        assertEquals(List.of("/look/a"), left);
    }

    /** With so many ahead no more is read, so that the client's end is not seen any more. */
    @Test
    void whatWaitedLongWhileNoMoreIsReadIsRefusedAndNotBegun() throws Exception {
        String[] keys = new String[70];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = "k" + i;
        }
        asks(keys);
        assertFalse(channel.config().isAutoRead());
        // Long enough for any machine: it only has to be longer than what is waited for without reading.
        Thread.sleep(400);
        open.get(0).served(new byte[] {'v'}, null);
        channel.runPendingTasks();
        assertEquals(List.of("/look/k0"), begun);
        assertEquals(70, answers());
        assertEquals(70, held.written.toString().split("HTTP/1.1 429 ", -1).length);
        assertTrue(channel.config().isAutoRead());
    }

    /** Its client sent it before it could know of the end: it was read and is owed its answer. */
    @Test
    void atTheEndOfADrainWhatWaitsBehindAnotherIsAnsweredToo() throws Exception {
        asks("a", "b");
        listener.closeConnections(() -> left.add("ended"));
        aTurnPasses();
        open.get(0).served(new byte[] {'v'}, null);
        channel.runPendingTasks();
        assertEquals(List.of("/look/a", "/look/b"), begun);
        assertTrue(left.isEmpty());
        open.get(1).served(new byte[] {'w'}, null);
        channel.runPendingTasks();
        assertEquals(2, answers());
        assertEquals(2, held.written.toString().split("connection: close", -1).length);
        assertFalse(channel.isActive());
        assertEquals(List.of("ended"), left);
    }

    /** Handed over is not out: the loop must not end before. */
    @Test
    void aDrainEndsOnceTheLastAnswerIsOut() {
        asks("a");
        listener.closeConnections(() -> left.add("ended"));
        aTurnPasses();
        held.holds = true;
        open.get(0).served(new byte[] {'v'}, null);
        channel.runPendingTasks();
        assertTrue(left.isEmpty());
        held.letThrough();
        channel.runPendingTasks();
        assertEquals(List.of("ended"), left);
    }

    /** A request that is half read when the drain ends is answered when its rest has come. */
    @Test
    void aDrainWaitsForWhatIsHalfRead() {
        channel.writeInbound(Unpooled.copiedBuffer("GET /look/a HTTP/1.1\r\nHo", StandardCharsets.US_ASCII));
        listener.closeConnections(() -> left.add("ended"));
        aTurnPasses();
        channel.writeInbound(Unpooled.copiedBuffer("st: x\r\n\r\n", StandardCharsets.US_ASCII));
        assertEquals(List.of("/look/a"), begun);
        open.get(0).served(new byte[] {'v'}, null);
        channel.runPendingTasks();
        assertEquals(1, answers());
        assertEquals(List.of("ended"), left);
    }

    /** It lay in the socket when the drain ended what carries nothing. */
    @Test
    void aRequestThatIsReadInTheLastTurnIsAnswered() {
        asks("a");
        open.get(0).served(new byte[] {'v'}, null);
        listener.closeConnections(() -> left.add("ended"));
        asks("b");
        aTurnPasses();
        assertEquals(List.of("/look/a", "/look/b"), begun);
        open.get(1).served(new byte[] {'w'}, null);
        channel.runPendingTasks();
        assertEquals(2, answers());
        assertEquals(List.of("ended"), left);
    }

    @Test
    void aDrainEndsConnectionsThatCarryNothing() {
        listener.closeConnections(() -> left.add("ended"));
        assertTrue(channel.isActive());
        aTurnPasses();
        assertFalse(channel.isActive());
        assertEquals(List.of("ended"), left);
    }

    /** Their requests are written to a connection that this machine has taken. */
    @Test
    void connectionsInTheBacklogAreTakenBeforeTheListenerCloses() throws Exception {
        withListener((real, loop, clients) -> {
            loop.submit(() -> {
                        clients.ask(60);
                        real.closeListeners();
                        return null;
                    })
                    .get();
            clients.areAnswered();
        });
    }

    /** Of a proxy that no client has asked yet the drain ends its connections when it closes the listener. */
    @Test
    void aDrainDoesNotEndWhileItsListenerBringsConnections() throws Exception {
        withListener((real, loop, clients) -> {
            CompletableFuture<Void> ended = new CompletableFuture<>();
            loop.submit(() -> {
                        real.closeListeners();
                        real.closeConnections(() -> clients.areAnsweredBy(ended));
                        clients.ask(60);
                        return null;
                    })
                    .get();
            ended.get();
            clients.areAnswered();
        });
    }

    private interface Play {
        void with(ClientListener listener, EventLoop loop, Clients clients) throws Exception;
    }

    /** Clients of a listener: they connect and ask while its loop is held up, so all are in its backlog. */
    private static final class Clients {
        final List<Socket> sockets = new ArrayList<>();
        final InetSocketAddress address;

        Clients(InetSocketAddress address) {
            this.address = address;
        }

        void ask(int count) throws IOException {
            for (int i = 0; i < count; i++) {
                sockets.add(new Socket(address.getAddress(), address.getPort()));
                sockets.get(i)
                        .getOutputStream()
                        .write(("GET /_health HTTP/1.1\r\nHost: x\r\n" + "Connection: close\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
            }
        }

        /** On the loop, when it says that all is over: then every answer lies in its client's socket. */
        void areAnsweredBy(CompletableFuture<Void> ended) {
            try {
                for (Socket socket : sockets) {
                    assertTrue(socket.getInputStream().available() > 0, "not answered when all was over");
                }
                ended.complete(null);
            } catch (IOException | AssertionError e) {
                ended.completeExceptionally(e);
            }
        }

        void areAnswered() throws IOException {
            for (Socket socket : sockets) {
                assertTrue(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                        .startsWith("HTTP/1.1 200 "));
            }
        }
    }

    private static void withListener(Play play) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        CompletableFuture<Channel> bound = new CompletableFuture<>();
        Clients clients = null;
        try {
            ProxyClock clock = new ProxyClock();
            ClientListener real = loop.submit(() -> {
                        NodePool pool = new NodePool(loop, clock, LIMITS, 8);
                        RequestTable table = new RequestTable(loop, clock, pool, settings(), 7);
                        ClientListener made = new ClientListener(loop, clock, table, () -> true, () -> 0, 100);
                        ChannelFuture binding =
                                made.bind(new InetSocketAddress("127.0.0.1", 0), accepted -> new RequestHandler() {
                                    @Override
                                    public String allow() {
                                        return "GET";
                                    }

                                    @Override
                                    public Runnable handle(FullHttpRequest request, long readNanos, Reply reply) {
                                        throw new AssertionError("only health is asked for");
                                    }
                                });
                        binding.addListener(f -> bound.complete(binding.channel()));
                        return made;
                    })
                    .get();
            clients = new Clients((InetSocketAddress) bound.get().localAddress());
            play.with(real, loop, clients);
            bound.get().closeFuture().sync();
        } finally {
            for (Socket client : clients == null ? List.<Socket>of() : clients.sockets) {
                client.close();
            }
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
