package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a router that drops bytes of pipelined requests, so that the rest is read as another request
 * (UNASKED), or that closes their connection (LOST).
 */
class PipelinedRequestsTest {
    private static final int ARRIVING_WHILE_FIRST_RUNS = 40;

    /** The bytes that arrive with the first request nearly fill the input buffer, which more bytes follow. */
    @ParameterizedTest
    @ValueSource(ints = {0, 4, 20, 40, 55})
    void requestsThatArriveWhileTheFirstOneRunsAreServedInOrder(int arrivingWithFirst) throws Exception {
        CountDownLatch firstMayEnd = new CountDownLatch(1);
        CountDownLatch firstRuns = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    if (received.header("X-Request-Id").equals("r-0")) {
                        firstRuns.countDown();
                        firstMayEnd.await();
                    }
                    output.write(latin1(completeResponse(received, "", received.header("X-Request-Id"))));
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            client.send(requests(0, 1 + arrivingWithFirst));
            assertThat(firstRuns.await(10, TimeUnit.SECONDS)).isTrue();
            client.send(requests(1 + arrivingWithFirst, ARRIVING_WHILE_FIRST_RUNS));
            awaitReadByRouter();
            firstMayEnd.countDown();
            for (int i = 0; i < 1 + arrivingWithFirst + ARRIVING_WHILE_FIRST_RUNS; i++) {
                RawClient.Response response = client.readResponse();
                assertThat(response.status()).as("status of request %d", i).isEqualTo(200);
                assertThat(response.body()).isEqualTo("r-" + i);
            }
        }
    }

    private static String requests(int first, int count) {
        StringBuilder requests = new StringBuilder();
        for (int i = first; i < first + count; i++) {
            requests.append(request("POST", "/idem/a", "r-" + i, "", "x"));
        }
        return requests.toString();
    }

    /** The router gives no sign of having read bytes; if it has not yet, the test passes without having shown it. */
    private static void awaitReadByRouter() throws InterruptedException {
        Thread.sleep(200);
    }
}
