package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests with bodies above the protocol's ordinary maximum of 64 KiB. */
@Timeout(60)
class LargeRequestBodiesTest {
    @Test
    void largeBodyIsForwardedUnchanged() throws Exception {
        for (int length : new int[] {64 * 1024, 64 * 1024 + 1, 220_000, BodyBudget.MAX_BODY_BYTES}) {
            try (Fixture f = new Fixture()) {
                String body = "0123456789abcdef".repeat(length / 16) + "x".repeat(length % 16);
                CompletableFuture<HttpResponse<String>> order = f.send("PUT", "/order/k", body);
                FakeServer.Received forwarded = f.origin.next();
                assertTrue(body.equals(forwarded.body), "length " + forwarded.body.length() + " of " + length);
                forwarded.answer("200 OK", "done");
                assertEquals("done", order.get().body());
            }
        }
    }

    /** Bodies are held until their requests end, and a node that hangs keeps requests open. */
    @Test
    void memoryOfOpenLargeBodiesIsLimitedAndFreedWhenRequestsEnd() throws Exception {
        try (Fixture f = new Fixture()) {
            String body = "x".repeat(BodyBudget.MAX_BODY_BYTES);
            int maxLargeBodies = BodyBudget.MAX_EXCESS_BYTES / BodyBudget.excessBytes(body.length());
            for (int round = 0; round < 2; round++) {
                List<CompletableFuture<HttpResponse<String>>> orders = new ArrayList<>();
                List<FakeServer.Received> forwarded = new ArrayList<>();
                for (int i = 0; i < maxLargeBodies; i++) {
                    orders.add(f.send("PUT", "/order/k" + round + i, body));
                    forwarded.add(f.origin.next());
                }
                assertEquals(429, f.send("PUT", "/order/more", body).get().statusCode());
                CompletableFuture<HttpResponse<String>> ordinary = f.send("PUT", "/order/ordinary", "v");
                f.origin.next().answer("200 OK", "done");
                assertEquals("done", ordinary.get().body());
                for (int i = 0; i < maxLargeBodies; i++) {
                    forwarded.get(i).answer("200 OK", "done");
                    assertEquals("done", orders.get(i).get().body());
                }
            }
        }
    }

    /** Guards against a few clients that send large bodies and stop halfway. */
    @Test
    void partialLargeBodiesDoNotBlockOrdinaryOnes() {
        BodyBudget budget = new BodyBudget(RequestCollector.MAX_HELD_BYTES, BodyBudget.MAX_EXCESS_BYTES);
        int maxLargeBodies = BodyBudget.MAX_EXCESS_BYTES / BodyBudget.excessBytes(BodyBudget.MAX_BODY_BYTES);
        List<EmbeddedChannel> partialLarge = new ArrayList<>();
        for (int i = 0; i < maxLargeBodies; i++) {
            partialLarge.add(connection(budget));
            sendPut(partialLarge.get(i), BodyBudget.MAX_BODY_BYTES, BodyBudget.MAX_BODY_BYTES - 1);
            assertNull(partialLarge.get(i).readInbound());
        }
        EmbeddedChannel excess = connection(budget);
        sendPut(excess, BodyBudget.MAX_BODY_BYTES, BodyBudget.MAX_BODY_BYTES - 1);
        assertEquals(
                HttpResponseStatus.INSUFFICIENT_STORAGE,
                assertInstanceOf(Rejection.class, excess.readInbound()).status);
        EmbeddedChannel ordinary = connection(budget);
        sendPut(ordinary, BodyBudget.ORDINARY_BODY_BYTES, BodyBudget.ORDINARY_BODY_BYTES);
        FullHttpRequest request = assertInstanceOf(FullHttpRequest.class, ordinary.readInbound());
        budget.release(request.content().readableBytes());
        request.release();
        // The clients disconnect, which frees all memory.
        partialLarge.forEach(EmbeddedChannel::close);
        excess.close();
        assertEquals(0, budget.heldBytes());
    }

    private static EmbeddedChannel connection(BodyBudget budget) {
        return new EmbeddedChannel(new HttpRequestDecoder(), new RequestCollector(budget));
    }

    private static void sendPut(EmbeddedChannel connection, int contentLength, int sentBytes) {
        connection.writeInbound(Unpooled.copiedBuffer(
                "PUT /order/k HTTP/1.1\r\nHost: x\r\nContent-Length: " + contentLength + "\r\n\r\n"
                        + "x".repeat(sentBytes),
                StandardCharsets.US_ASCII));
    }
}
