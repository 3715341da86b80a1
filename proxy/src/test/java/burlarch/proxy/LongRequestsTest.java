package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
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
        for (int length : new int[] {64 * 1024, 64 * 1024 + 1, 220_000, RequestCollector.LARGEST_BODY}) {
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
            String body = "x".repeat(RequestCollector.LARGEST_BODY);
            int fit = AnswerCollector.BEYOND_MOST / AnswerCollector.beyondOrdinary(body.length());
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
}
