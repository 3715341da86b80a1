package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.proxy.ownload.OwnLoadSettings;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A proxy with an overloaded event loop rejects requests if the own-load feature is on, and none if it is off. */
@Timeout(60)
class OwnLoadTest {
    private static final int REQUESTS = 40;

    /** Blocks the event loop for 40 ms in each iteration until the given time. */
    private static void blockLoop(ProxyMain main, long untilNanos) {
        if (System.nanoTime() < untilNanos) {
            try {
                Thread.sleep(40);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            main.loop().schedule(() -> blockLoop(main, untilNanos), 1, TimeUnit.NANOSECONDS);
        }
    }

    private static List<Integer> statusesWhileBlocked(Fixture fixture) throws Exception {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(6);
        fixture.main.loop().execute(() -> blockLoop(fixture.main, untilNanos));
        // Long enough for the admitted share to reach its minimum.
        Thread.sleep(2000);
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REQUESTS && System.nanoTime() < untilNanos; i++) {
            HttpResponse<String> answer = fixture.read("k" + i).get(30, TimeUnit.SECONDS);
            if (answer.statusCode() == 429) {
                assertTrue(Double.parseDouble(
                                answer.headers().firstValue("Retry-After").orElse("0"))
                        > 0);
            }
            statuses.add(answer.statusCode());
        }
        return statuses;
    }

    @Test
    void delayedLoopRejectsRequestsAndAcceptsAllAfterRecovery() throws Exception {
        try (Fixture fixture =
                new Fixture(List.of(), Fixture.SOCKETS, Features.none().with(new OwnLoadSettings(true)))) {
            fixture.cache.answerWith("200 OK", "value");
            assertEquals(200, fixture.read("before").get().statusCode());
            List<Integer> statuses = statusesWhileBlocked(fixture);
            assertTrue(statuses.contains(429), statuses.toString());
            long startNanos = System.nanoTime();
            int consecutiveServed = 0;
            while (consecutiveServed < 20) {
                assertTrue(
                        System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(40), "requests are still rejected");
                consecutiveServed = fixture.read("after").get().statusCode() == 200 ? consecutiveServed + 1 : 0;
            }
            fixture.awaitNoOpenRequests();
        }
    }

    @Test
    void noRequestIsRejectedByDefault() throws Exception {
        try (Fixture fixture = new Fixture()) {
            fixture.cache.answerWith("200 OK", "value");
            assertEquals(200, fixture.read("before").get().statusCode());
            List<Integer> statuses = statusesWhileBlocked(fixture);
            assertTrue(statuses.stream().allMatch(status -> status == 200), statuses.toString());
        }
    }
}
