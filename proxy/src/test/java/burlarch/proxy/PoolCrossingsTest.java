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

/** What crosses at a connection to a node: each step waits for the one before it. */
@Timeout(60)
class PoolCrossingsTest {
    private static final long NODE = 7;
    private static final long NEVER_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final Limits LIMITS =
            new Limits(5, false, false, true, 0, TimeUnit.SECONDS.toNanos(20), NEVER_NANOS);

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ProxyClock clock = new ProxyClock();
    private NodePool pool;

    /** A call and how it ended. */
    private final class Recorded extends NodePool.Call {
        final CompletableFuture<String> end = new CompletableFuture<>();

        Recorded(String id) {
            super(
                    new UpstreamRequest(HttpMethod.GET, "/look/" + id, id, null, new byte[0]),
                    clock.nowNanos() + NEVER_NANOS);
        }

        @Override
        void ended(Outcome outcome, byte[] body, String contentType) {
            end.complete(outcome + (body == null ? "" : " " + new String(body, StandardCharsets.UTF_8)));
        }
    }

    /** Holds back the last write's promise, as a socket does that takes no more. */
    private static final class Stalled extends ChannelOutboundHandlerAdapter {
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

    private void poolBefore(String hostPort, long restNanos) throws Exception {
        pool = onLoop(() -> new NodePool(loop, clock, LIMITS, 8, restNanos));
        InetSocketAddress address = LiteralAddresses.parse(hostPort);
        onLoop(() -> {
            pool.update(List.of(new NodePool.Endpoint(NODE, address, true)), List.of(), true);
            return null;
        });
    }

    private EmbeddedChannel adopted(EmbeddedChannel channel) throws Exception {
        return onLoop(() -> {
            pool.adopt(NODE, channel);
            return channel;
        });
    }

    private Recorded sent(String id) throws Exception {
        return onLoop(() -> {
            Recorded call = new Recorded(id);
            pool.send(call, NODE);
            return call;
        });
    }

    private void answers(EmbeddedChannel channel, String body) throws Exception {
        onLoop(() -> channel.writeInbound(Unpooled.copiedBuffer(
                "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body, StandardCharsets.US_ASCII)));
    }

    /** It would serve the next call's client with what was made for another. */
    @Test
    void aSecondAnswerThatComesLateIsNotTheNextCallsAnswer() throws Exception {
        try (FakeServer node = new FakeServer()) {
            poolBefore(node.hostPort(), NEVER_NANOS);
            EmbeddedChannel channel = adopted(new EmbeddedChannel());
            Recorded first = sent("first");
            answers(channel, "of the first");
            assertEquals("GOOD of the first", first.end.get());
            Recorded next = sent("next");
            answers(channel, "of the first");
            assertFalse(channel.isActive());
            node.next().answer("200 OK", "of the next");
            assertEquals("GOOD of the next", next.end.get());
        }
    }

    /** It takes the waiting call sooner than a new connection would be up. */
    @Test
    void aConnectionThatHasRestedTakesTheCallThatWaits() throws Exception {
        try (FakeServer node = new FakeServer()) {
            poolBefore(node.hostPort(), TimeUnit.MILLISECONDS.toNanos(1));
            EmbeddedChannel channel = adopted(new EmbeddedChannel());
            Recorded first = sent("first");
            answers(channel, "a");
            first.end.get();
            Recorded next = sent("next");
            while (onLoop(() -> channel.outboundMessages().size()) < 2) {
                Thread.onSpinWait();
            }
            answers(channel, "b");
            assertEquals("GOOD b", next.end.get());
            assertEquals(0, node.connections.get());
        }
    }

    /** The node can't have begun it: an answer to what is not out whole answers something else. */
    @Test
    void anAnswerBeforeTheRequestIsOutNeverRan() throws Exception {
        try (FakeServer node = new FakeServer()) {
            poolBefore(node.hostPort(), NEVER_NANOS);
            EmbeddedChannel channel = adopted(new EmbeddedChannel(new Stalled()));
            Recorded call = sent("first");
            answers(channel, "early");
            assertEquals("NOCONN", call.end.get());
            assertFalse(channel.isActive());
        }
    }

    /** Where the settings do not allow to call an attempt off, one that has gone out is left alone. */
    @Test
    void aCallThatIsOutIsNotWithdrawn() throws Exception {
        try (FakeServer node = new FakeServer()) {
            poolBefore(node.hostPort(), NEVER_NANOS);
            EmbeddedChannel channel = adopted(new EmbeddedChannel());
            Recorded call = sent("first");
            onLoop(() -> {
                pool.withdraw(call);
                return null;
            });
            answers(channel, "v");
            assertEquals("GOOD v", call.end.get());
        }
    }
}
