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

/**
 * Order of events on a client connection: pipelining, disconnects and drains. The test controls each step of the
 * event loop and each completed write.
 */
@Timeout(60)
class ClientConnectionOrderTest {
    private static final long LONG_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final Limits LIMITS = new Limits(1, false, false, true, 0, LONG_NANOS, LONG_NANOS);

    private final List<String> startedUris = new ArrayList<>();
    private final List<RequestHandler.Reply> openReplies = new ArrayList<>();
    /** URIs of abandoned requests, and "ended" once all connections are closed at the end of a drain. */
    private final List<String> notifications = new ArrayList<>();

    private final HeldSocket socket = new HeldSocket();
    private EmbeddedChannel channel;
    private ClientListener listener;

    /** Stands in for the client's socket; keeps writes pending while {@code holds} is set. */
    private static final class HeldSocket extends ChannelOutboundHandlerAdapter {
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

        void completeWrites() {
            holds = false;
            for (ChannelPromise next = promises.poll(); next != null; next = promises.poll()) {
                next.trySuccess();
            }
        }
    }

    private final class Handler implements RequestHandler {
        @Override
        public String allowedMethods() {
            return "GET";
        }

        @Override
        public Runnable handle(FullHttpRequest request, long readNanos, Reply reply) {
            startedUris.add(request.uri());
            openReplies.add(reply);
            String uri = request.uri();
            return () -> notifications.add(uri);
        }
    }

    @BeforeEach
    void connect() {
        channel = new EmbeddedChannel(socket);
        EventLoop loop = channel.eventLoop();
        ProxyClock clock = new ProxyClock();
        NodePool nodePool = new NodePool(loop, clock, LIMITS, 8);
        RequestTable table = new RequestTable(loop, clock, nodePool, settings(), 7);
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

    /** Lets the event loop run the iteration after which a drain closes idle connections. */
    private void runLoopIteration() {
        channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private void sendRequests(String... keys) {
        StringBuilder text = new StringBuilder();
        for (String key : keys) {
            text.append("GET /look/").append(key).append(" HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private int responseCount() {
        return socket.written.toString().split("HTTP/1.1 ", -1).length - 1;
    }

    /** Otherwise the responses to a client that does not read would accumulate in memory. */
    @Test
    void nextRequestStartsOnlyWhenPreviousResponseIsWritten() {
        sendRequests("a", "b");
        socket.holds = true;
        openReplies.get(0).served(new byte[] {'v'}, null);
        // A request that arrives meanwhile must not start the next one either.
        sendRequests("c");
        channel.runPendingTasks();
        assertEquals(List.of("/look/a"), startedUris);
        socket.completeWrites();
        channel.runPendingTasks();
        assertEquals(List.of("/look/a", "/look/b"), startedUris);
    }

    @Test
    void disconnectBeforeResponseIsWrittenStartsNoFurtherRequest() {
        sendRequests("a", "b", "c");
        socket.holds = true;
        openReplies.get(0).served(new byte[] {'v'}, null);
        channel.close();
        socket.completeWrites();
        channel.runPendingTasks();
        assertEquals(List.of("/look/a"), startedUris);
        assertTrue(notifications.isEmpty(), "a request that was answered must not be abandoned");
    }

    @Test
    void disconnectDuringRequestAbandonsItAndStartsNoFurtherRequest() {
        sendRequests("a", "b");
        channel.close();
        channel.runPendingTasks();
        assertEquals(List.of("/look/a"), startedUris);
        assertEquals(List.of("/look/a"), notifications);
    }

    /** With the pipeline full, reading is paused, so a disconnect of the client is not noticed. */
    @Test
    void requestsThatWaitedTooLongWhileReadingWasPausedAreAnswered429() throws Exception {
        String[] keys = new String[70];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = "k" + i;
        }
        sendRequests(keys);
        assertFalse(channel.config().isAutoRead());
        // Longer than a request may wait while reading is paused. Sleeping longer does not affect the result.
        Thread.sleep(400);
        openReplies.get(0).served(new byte[] {'v'}, null);
        channel.runPendingTasks();
        assertEquals(List.of("/look/k0"), startedUris);
        assertEquals(70, responseCount());
        assertEquals(70, socket.written.toString().split("HTTP/1.1 429 ", -1).length);
        assertTrue(channel.config().isAutoRead());
    }

    /** The client sent the request before it could know of the drain, and the proxy has read it. */
    @Test
    void pipelinedRequestIsAnsweredAtEndOfDrain() throws Exception {
        sendRequests("a", "b");
        listener.closeConnections(() -> notifications.add("ended"));
        runLoopIteration();
        openReplies.get(0).served(new byte[] {'v'}, null);
        channel.runPendingTasks();
        assertEquals(List.of("/look/a", "/look/b"), startedUris);
        assertTrue(notifications.isEmpty());
        openReplies.get(1).served(new byte[] {'w'}, null);
        channel.runPendingTasks();
        assertEquals(2, responseCount());
        assertEquals(2, socket.written.toString().split("connection: close", -1).length);
        assertFalse(channel.isActive());
        assertEquals(List.of("ended"), notifications);
    }

    /** A response that is handed to the socket but not yet written must keep the event loop running. */
    @Test
    void drainEndsOnlyWhenLastResponseIsWritten() {
        sendRequests("a");
        listener.closeConnections(() -> notifications.add("ended"));
        runLoopIteration();
        socket.holds = true;
        openReplies.get(0).served(new byte[] {'v'}, null);
        channel.runPendingTasks();
        assertTrue(notifications.isEmpty());
        socket.completeWrites();
        channel.runPendingTasks();
        assertEquals(List.of("ended"), notifications);
    }

    /** A request that is partially received when the drain ends is answered once the rest has arrived. */
    @Test
    void drainWaitsForPartiallyReceivedRequest() {
        channel.writeInbound(Unpooled.copiedBuffer("GET /look/a HTTP/1.1\r\nHo", StandardCharsets.US_ASCII));
        listener.closeConnections(() -> notifications.add("ended"));
        runLoopIteration();
        channel.writeInbound(Unpooled.copiedBuffer("st: x\r\n\r\n", StandardCharsets.US_ASCII));
        assertEquals(List.of("/look/a"), startedUris);
        openReplies.get(0).served(new byte[] {'v'}, null);
        channel.runPendingTasks();
        assertEquals(1, responseCount());
        assertEquals(List.of("ended"), notifications);
    }

    /** The request was in the socket buffer when the drain was about to close idle connections. */
    @Test
    void requestReadInLastLoopIterationOfDrainIsAnswered() {
        sendRequests("a");
        openReplies.get(0).served(new byte[] {'v'}, null);
        listener.closeConnections(() -> notifications.add("ended"));
        sendRequests("b");
        runLoopIteration();
        assertEquals(List.of("/look/a", "/look/b"), startedUris);
        openReplies.get(1).served(new byte[] {'w'}, null);
        channel.runPendingTasks();
        assertEquals(2, responseCount());
        assertEquals(List.of("ended"), notifications);
    }

    @Test
    void drainClosesIdleConnections() {
        listener.closeConnections(() -> notifications.add("ended"));
        assertTrue(channel.isActive());
        runLoopIteration();
        assertFalse(channel.isActive());
        assertEquals(List.of("ended"), notifications);
    }

    /** The kernel has accepted these connections, and their clients have sent requests already. */
    @Test
    void connectionsInBacklogAreAcceptedBeforeListenerCloses() throws Exception {
        withListener((tcpListener, loop, clients) -> {
            loop.submit(() -> {
                        clients.sendHealthChecks(60);
                        tcpListener.closeListeners();
                        return null;
                    })
                    .get();
            clients.assertAnswered();
        });
    }

    /** If no client has sent a request yet, the drain closes the listeners and the connections at the same time. */
    @Test
    void drainDoesNotEndWhileListenerAcceptsConnections() throws Exception {
        withListener((tcpListener, loop, clients) -> {
            CompletableFuture<Void> ended = new CompletableFuture<>();
            loop.submit(() -> {
                        tcpListener.closeListeners();
                        tcpListener.closeConnections(() -> clients.assertAnsweredWhenEnded(ended));
                        clients.sendHealthChecks(60);
                        return null;
                    })
                    .get();
            ended.get();
            clients.assertAnswered();
        });
    }

    private interface ListenerScenario {
        void run(ClientListener listener, EventLoop loop, BacklogClients clients) throws Exception;
    }

    /** Clients that connect and send a request while the event loop is blocked, so that all are in the backlog. */
    private static final class BacklogClients {
        final List<Socket> sockets = new ArrayList<>();
        final InetSocketAddress address;

        BacklogClients(InetSocketAddress address) {
            this.address = address;
        }

        void sendHealthChecks(int count) throws IOException {
            for (int i = 0; i < count; i++) {
                sockets.add(new Socket(address.getAddress(), address.getPort()));
                sockets.get(i)
                        .getOutputStream()
                        .write(("GET /_health HTTP/1.1\r\nHost: x\r\n" + "Connection: close\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
            }
        }

        /** Called on the event loop when all connections are closed: each response must be in its client's socket. */
        void assertAnsweredWhenEnded(CompletableFuture<Void> ended) {
            try {
                for (Socket socket : sockets) {
                    assertTrue(socket.getInputStream().available() > 0, "no response when all connections were closed");
                }
                ended.complete(null);
            } catch (IOException | AssertionError e) {
                ended.completeExceptionally(e);
            }
        }

        void assertAnswered() throws IOException {
            for (Socket socket : sockets) {
                assertTrue(new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                        .startsWith("HTTP/1.1 200 "));
            }
        }
    }

    private static void withListener(ListenerScenario scenario) throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        CompletableFuture<Channel> bound = new CompletableFuture<>();
        BacklogClients clients = null;
        try {
            ProxyClock clock = new ProxyClock();
            ClientListener listener = loop.submit(() -> {
                        NodePool nodePool = new NodePool(loop, clock, LIMITS, 8);
                        RequestTable table = new RequestTable(loop, clock, nodePool, settings(), 7);
                        ClientListener created = new ClientListener(loop, clock, table, () -> true, () -> 0, 100);
                        ChannelFuture binding =
                                created.bind(new InetSocketAddress("127.0.0.1", 0), accepted -> new RequestHandler() {
                                    @Override
                                    public String allowedMethods() {
                                        return "GET";
                                    }

                                    @Override
                                    public Runnable handle(FullHttpRequest request, long readNanos, Reply reply) {
                                        throw new AssertionError("only health checks are sent");
                                    }
                                });
                        binding.addListener(f -> bound.complete(binding.channel()));
                        return created;
                    })
                    .get();
            clients = new BacklogClients((InetSocketAddress) bound.get().localAddress());
            scenario.run(listener, loop, clients);
            bound.get().closeFuture().sync();
        } finally {
            for (Socket client : clients == null ? List.<Socket>of() : clients.sockets) {
                client.close();
            }
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
