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

/** Requests with bodies beyond the protocol's 64 KiB. */
@Timeout(60)
class LongRequestsTest {
    @Test
    void aLongRequestIsPassedOnWhole() throws Exception {
        for (int length : new int[] {64 * 1024, 64 * 1024 + 1, 220_000, BodyBudget.LARGEST}) {
            try (Fixture f = new Fixture()) {
                String body = "0123456789abcdef".repeat(length / 16) + "x".repeat(length % 16);
                CompletableFuture<HttpResponse<String>> order = f.send("PUT", "/order/k", body);
                FakeServer.Received asked = f.origin.next();
                assertTrue(body.equals(asked.body), "length " + asked.body.length() + " of " + length);
                asked.answer("200 OK", "done");
                assertEquals("done", order.get().body());
            }
        }
    }

    /** They are held until they are over, and a node that hangs keeps them open. */
    @Test
    void whatAllHoldIsBoundedAndFreeAgainWhenTheyAreOver() throws Exception {
        try (Fixture f = new Fixture()) {
            String body = "x".repeat(BodyBudget.LARGEST);
            int fit = BodyBudget.BEYOND_MOST / BodyBudget.beyond(body.length());
            for (int round = 0; round < 2; round++) {
                List<CompletableFuture<HttpResponse<String>>> orders = new ArrayList<>();
                List<FakeServer.Received> asked = new ArrayList<>();
                for (int i = 0; i < fit; i++) {
                    orders.add(f.send("PUT", "/order/k" + round + i, body));
                    asked.add(f.origin.next());
                }
                assertEquals(429, f.send("PUT", "/order/more", body).get().statusCode());
                CompletableFuture<HttpResponse<String>> ordinary = f.send("PUT", "/order/ordinary", "v");
                f.origin.next().answer("200 OK", "done");
                assertEquals("done", ordinary.get().body());
                for (int i = 0; i < fit; i++) {
                    asked.get(i).answer("200 OK", "done");
                    assertEquals("done", orders.get(i).get().body());
                }
            }
        }
    }

    /** A few clients that send long bodies and stop half way. */
    @Test
    void longOnesThatAreHalfSentKeepNoOrdinaryOneOut() {
        BodyBudget budget = new BodyBudget(RequestCollector.MAX_HELD_BYTES, BodyBudget.BEYOND_MOST);
        int fit = BodyBudget.BEYOND_MOST / BodyBudget.beyond(BodyBudget.LARGEST);
        List<EmbeddedChannel> slow = new ArrayList<>();
        for (int i = 0; i < fit; i++) {
            slow.add(connection(budget));
            put(slow.get(i), BodyBudget.LARGEST, BodyBudget.LARGEST - 1);
            assertNull(slow.get(i).readInbound());
        }
        EmbeddedChannel more = connection(budget);
        put(more, BodyBudget.LARGEST, BodyBudget.LARGEST - 1);
        assertEquals(
                HttpResponseStatus.INSUFFICIENT_STORAGE, assertInstanceOf(Rejection.class, more.readInbound()).status);
        EmbeddedChannel ordinary = connection(budget);
        put(ordinary, BodyBudget.ORDINARY, BodyBudget.ORDINARY);
        FullHttpRequest whole = assertInstanceOf(FullHttpRequest.class, ordinary.readInbound());
        budget.release(whole.content().readableBytes());
        whole.release();
        // They give up: all is free again.
        slow.forEach(EmbeddedChannel::close);
        more.close();
        assertEquals(0, budget.heldBytes());
    }

    private static EmbeddedChannel connection(BodyBudget budget) {
        return new EmbeddedChannel(new HttpRequestDecoder(), new RequestCollector(budget));
    }

    private static void put(EmbeddedChannel connection, int stated, int sent) {
        connection.writeInbound(Unpooled.copiedBuffer(
                "PUT /order/k HTTP/1.1\r\nHost: x\r\nContent-Length: " + stated + "\r\n\r\n" + "x".repeat(sent),
                StandardCharsets.US_ASCII));
    }
}
