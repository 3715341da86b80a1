package burlarch.router;

import static burlarch.router.StreamsTest.writeEvent;
import static burlarch.router.StreamsTest.writeHead;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.router.lifecycle.StartupGate;
import burlarch.routing.AttemptOutcome;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A request ends at its deadline whatever the instance does: the router responds, or closes the connection if the
 * response has begun.
 */
class TimeoutTest {
    private static final long TIMEOUT_MILLIS = 1_000;
    /** Allowance for a busy machine; the required limit itself is 0.5 s. */
    private static final long SLACK_MILLIS = 2_000;

    private static String request(String path) {
        return "POST " + path + " HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: id\r\n"
                + "X-Credential: key-a\r\nX-Request-Deadline: " + TIMEOUT_MILLIS
                + "\r\nContent-Length: 1\r\n\r\nx";
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    @ParameterizedTest
    @CsvSource({"/idem/a, 504", "/once/a, 504", "/stream/a, 504", "/resume/a, 504"})
    void requestToUnresponsiveInstanceTimesOut(String path, int status) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    if (socket.getInputStream().read() < 0) {
                        closed.countDown();
                    }
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            long startNanos = System.nanoTime();
            assertThat(client.exchange(request(path)).status()).isEqualTo(status);
            assertThat(millisSince(startNanos)).isBetween(TIMEOUT_MILLIS / 2, TIMEOUT_MILLIS + SLACK_MILLIS);
            assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.TIMED_OUT);
        }
    }

    /** A first request loads the classes, so that the first event of the stream is forwarded before the deadline. */
    @ParameterizedTest
    @CsvSource({"/stream/a", "/resume/a"})
    void streamThatContinuesBeyondTheDeadlineIsAborted(String path) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    if (received.header("X-Request-Id").equals("first")) {
                        output.write(ScriptedEngine.latin1(ScriptedEngine.completeResponse(received, "", "x")));
                        return;
                    }
                    writeHead(received, output);
                    writeEvent(output, 1);
                    if (socket.getInputStream().read() < 0) {
                        closed.countDown();
                    }
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            client.exchange(RouterFixture.request("POST", path, "first", "", "x"));
            long startNanos = System.nanoTime();
            RawClient.Response response = client.exchange(request(path));
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.isComplete()).isFalse();
            assertThat(millisSince(startNanos)).isBetween(TIMEOUT_MILLIS / 2, TIMEOUT_MILLIS + SLACK_MILLIS);
            assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void requestThatWaitsForTheFirstConfigurationGets503() throws Exception {
        try (RouterFixture fixture = RouterFixture.withoutConfiguration();
                RawClient client = fixture.client()) {
            long startNanos = System.nanoTime();
            assertThat(client.exchange(request("/idem/a")).status()).isEqualTo(503);
            assertThat(millisSince(startNanos)).isLessThan(StartupGate.MAX_WAIT_MILLIS + SLACK_MILLIS);
        }
    }
}
