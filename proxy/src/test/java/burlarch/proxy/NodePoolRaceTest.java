package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import burlarch.decisions.Api.Limits;
import burlarch.decisions.Api.Outcome;
import burlarch.settings.LiteralAddresses;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Races on a connection to a node, played in a fixed order: each step waits for the one before it. */
@Timeout(60)
class NodePoolRaceTest {
    private static final long NODE = 7;
    private static final long NEVER_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final Limits LIMITS =
            new Limits(5, false, false, true, 0, TimeUnit.SECONDS.toNanos(20), NEVER_NANOS);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ProxyClock clock = new ProxyClock();
    private NodePool pool;

    /** A call that records its outcome and its response body. */
    private final class RecordingCall extends NodePool.Call {
        final CompletableFuture<String> result = new CompletableFuture<>();

        RecordingCall(String id) {
            super(
                    new UpstreamRequest(HttpMethod.GET, "/look/" + id, id, null, new byte[0]),
                    clock.nowNanos() + NEVER_NANOS);
        }

        @Override
        void ended(Outcome outcome, byte[] body, String contentType) {
            result.complete(outcome + (body == null ? "" : " " + new String(body, StandardCharsets.UTF_8)));
        }
    }

    /** Never completes the promises of writes, as on a socket that accepts no more bytes. */
    private static final class StalledWrites extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            context.write(message, context.newPromise());
        }
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private <T> T onLoop(Callable<T> step) throws Exception {
        return loop.submit(step).get();
    }

    private void createPool(String hostPort, long reuseDelayNanos) throws Exception {
        pool = onLoop(() -> new NodePool(loop, clock, LIMITS, 8, reuseDelayNanos));
        InetSocketAddress address = LiteralAddresses.parse(hostPort);
        onLoop(() -> {
            pool.update(List.of(new NodePool.Endpoint(NODE, address, true)), List.of(), true);
            return null;
        });
    }

    private EmbeddedChannel adoptChannel(EmbeddedChannel channel) throws Exception {
        return onLoop(() -> {
            pool.adopt(NODE, channel);
            return channel;
        });
    }

    private RecordingCall sendCall(String id) throws Exception {
        return onLoop(() -> {
            RecordingCall call = new RecordingCall(id);
            pool.send(call, NODE);
            return call;
        });
    }

    private void receiveResponse(EmbeddedChannel channel, String body) throws Exception {
        onLoop(() -> channel.writeInbound(Unpooled.copiedBuffer(
                "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body, StandardCharsets.US_ASCII)));
    }

    /** Else the client of the next call would be served the response to another request. */
    @Test
    void lateDuplicateResponseIsNotServedToNextCall() throws Exception {
        try (FakeServer node = new FakeServer()) {
            createPool(node.hostPort(), NEVER_NANOS);
            EmbeddedChannel channel = adoptChannel(new EmbeddedChannel());
            RecordingCall firstCall = sendCall("first");
            receiveResponse(channel, "of the first");
            assertEquals("GOOD of the first", firstCall.result.get());
            RecordingCall nextCall = sendCall("next");
            receiveResponse(channel, "of the first");
            assertFalse(channel.isActive());
            node.next().answer("200 OK", "of the next");
            assertEquals("GOOD of the next", nextCall.result.get());
        }
    }

    /** The connection is available sooner than a new one would be. */
    @Test
    void connectionTakesWaitingCallAfterReuseDelay() throws Exception {
        try (FakeServer node = new FakeServer()) {
            createPool(node.hostPort(), TimeUnit.MILLISECONDS.toNanos(1));
            EmbeddedChannel channel = adoptChannel(new EmbeddedChannel());
            RecordingCall firstCall = sendCall("first");
            receiveResponse(channel, "a");
            firstCall.result.get();
            RecordingCall nextCall = sendCall("next");
            while (onLoop(() -> channel.outboundMessages().size()) < 2) {
                Thread.onSpinWait();
            }
            receiveResponse(channel, "b");
            assertEquals("GOOD b", nextCall.result.get());
            assertEquals(0, node.connections.get());
        }
    }

    /** The node cannot have started the request: a response before it was written in full belongs to another one. */
    @Test
    void responseBeforeRequestIsWrittenEndsCallAsNotSent() throws Exception {
        try (FakeServer node = new FakeServer()) {
            createPool(node.hostPort(), NEVER_NANOS);
            EmbeddedChannel channel = adoptChannel(new EmbeddedChannel(new StalledWrites()));
            RecordingCall call = sendCall("first");
            receiveResponse(channel, "early");
            assertEquals("NOCONN", call.result.get());
            assertFalse(channel.isActive());
        }
    }

    /** Where the settings forbid cancellation, an attempt that was sent continues. */
    @Test
    void sentCallIsNotWithdrawn() throws Exception {
        try (FakeServer node = new FakeServer()) {
            createPool(node.hostPort(), NEVER_NANOS);
            EmbeddedChannel channel = adoptChannel(new EmbeddedChannel());
            RecordingCall call = sendCall("first");
            onLoop(() -> {
                pool.withdraw(call);
                return null;
            });
            receiveResponse(channel, "v");
            assertEquals("GOOD v", call.result.get());
        }
    }
}
