package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static burlarch.router.ScriptedEngine.responseHead;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.router.lifecycle.DrainSchedule;
import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A draining router completes accepted requests and immediately rejects requests that arrive too late. */
class DrainTest {
    private static final long LONG_MILLIS = 60_000;
    /** Accepts all requests until the test has ended. */
    private static final DrainSchedule ACCEPTING_ALL = new DrainSchedule(0, LONG_MILLIS, 2 * LONG_MILLIS);
    /** From the start accepts only requests whose deadline is before the end of the drain. */
    private static final DrainSchedule REJECTING_LONG_REQUESTS = new DrainSchedule(0, 0, LONG_MILLIS);

    private static final DrainSchedule ENDED_AT_ONCE = new DrainSchedule(0, 0, 0);
    private static final String LONG_DEADLINE = "X-Request-Deadline: 3600000";

    private static ScriptedEngine.Script delayingSlowRequestsUntil(CountDownLatch release) {
        return (received, socket, output) -> {
            if (received.requestLine().contains("slow")) {
                release.await();
            }
            output.write(latin1(completeResponse(received, "", "x")));
        };
    }

    /** Returns a request with a deadline after any drain; only the timeout of its route limits it. */
    private static String longRequest(String path, String id) {
        return request("POST", path, id, "", "x").replace("X-Request-Deadline: 8000", LONG_DEADLINE);
    }

    @Test
    void acceptedRequestIsAnsweredAndItsConnectionIsClosed() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(delayingSlowRequestsUntil(new CountDownLatch(0)));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient idle = fixture.client();
                RawClient late = fixture.client();
                RawClient loadBalancer = new RawClient(fixture.router.readinessPort())) {
            assertThat(idle.exchange(request("POST", "/once/a", "id1", "", "x")).header("Connection"))
                    .isNull();
            fixture.router.drain(ACCEPTING_ALL);
            assertThat(loadBalancer
                            .exchange("GET /burlarch/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                            .status())
                    .isEqualTo(503);
            for (RawClient client : new RawClient[] {idle, late}) {
                RawClient.Response response = client.exchange(request("POST", "/once/a", "id2", "", "x"));
                assertThat(response.status()).isEqualTo(200);
                assertThat(response.header("Connection")).isEqualTo("close");
                assertThat(client.isClosedByPeer()).isTrue();
            }
        }
    }

    @Test
    void earlyRequestCompletesAndLateRequestIsRejected() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        DrainSchedule shorterThanTheRoute = new DrainSchedule(0, 0, RouterFixture.ROUTE_TIMEOUT_MILLIS / 2);
        try (ScriptedEngine engine = new ScriptedEngine(delayingSlowRequestsUntil(release));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient slow = fixture.client();
                RawClient late = fixture.client()) {
            slow.send(longRequest("/once/slow", "early"));
            engine.nextRequest();
            CompletableFuture<Void> drained = fixture.router.drain(shorterThanTheRoute);
            RawClient.Response rejection = late.exchange(longRequest("/once/a", "late"));
            assertThat(rejection.status()).isEqualTo(503);
            assertThat(rejection.header("Retry-After")).isNotNull();
            assertThat(rejection.header("Connection")).isEqualTo("close");
            assertThat(late.isClosedByPeer()).isTrue();
            assertThat(drained).isNotDone();
            release.countDown();
            assertThat(slow.readResponse().status()).isEqualTo(200);
            drained.get(5, TimeUnit.SECONDS);
            assertThat(engine.requests()).isEqualTo(1);
        }
    }

    @Test
    void lateRequestWithDeadlineBeforeTheEndIsAccepted() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine(delayingSlowRequestsUntil(release));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient slow = fixture.client();
                RawClient late = fixture.client()) {
            slow.send(request("POST", "/once/slow", "early", "", "x"));
            engine.nextRequest();
            fixture.router.drain(REJECTING_LONG_REQUESTS);
            assertThat(late.exchange(request("POST", "/once/a", "late", "", "x"))
                            .status())
                    .isEqualTo(200);
            release.countDown();
            assertThat(slow.readResponse().status()).isEqualTo(200);
        }
    }

    @Test
    void idleConnectionIsClosedAndUnusedConnectionIsNot() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine(delayingSlowRequestsUntil(release));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient slow = fixture.client();
                RawClient idle = fixture.client();
                RawClient unused = fixture.client()) {
            assertThat(idle.exchange(request("POST", "/once/a", "id", "", "x")).status())
                    .isEqualTo(200);
            slow.send(request("POST", "/once/slow", "early", "", "x"));
            engine.nextRequest();
            engine.nextRequest();
            fixture.router.drain(REJECTING_LONG_REQUESTS);
            assertThat(idle.isClosedByPeer()).isTrue();
            assertThat(unused.exchange(request("POST", "/once/a", "late", "", "x"))
                            .status())
                    .isEqualTo(200);
            release.countDown();
            assertThat(slow.readResponse().status()).isEqualTo(200);
        }
    }

    @Test
    void drainEndsOnScheduleDespiteUnresponsiveInstance() throws Exception {
        CountDownLatch testEnd = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> testEnd.await());
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            client.send(request("POST", "/once/a", "id", "", "x"));
            engine.nextRequest();
            fixture.router.drain(ENDED_AT_ONCE).get(5, TimeUnit.SECONDS);
            testEnd.countDown();
        }
    }

    /** Guards against requests that are forwarded although the drain is over and the process is about to end (LOST). */
    @Test
    void requestAfterTheDrainIsRejected() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(delayingSlowRequestsUntil(new CountDownLatch(0)));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient unused = fixture.client()) {
            fixture.router.drain(REJECTING_LONG_REQUESTS).get(5, TimeUnit.SECONDS);
            RawClient.Response rejection = unused.exchange(request("POST", "/once/a", "late", "", "x"));
            assertThat(rejection.status()).isEqualTo(503);
            assertThat(rejection.header("Retry-After")).isNotNull();
            assertThat(rejection.header("Connection")).isEqualTo("close");
            assertThat(engine.requests()).isZero();
        }
    }

    /** Guards against connections that nobody serves: accepted by the system alone while the process ends. */
    @Test
    void connectionAfterTheDrainIsRefused() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(delayingSlowRequestsUntil(new CountDownLatch(0)));
                RouterFixture fixture = new RouterFixture(engine)) {
            fixture.router.drain(REJECTING_LONG_REQUESTS).get(5, TimeUnit.SECONDS);
            assertThatThrownBy(fixture::client).isInstanceOf(ConnectException.class);
        }
    }

    /** Guards against a retry that is sent although the drain is over and the process is about to end (LOST). */
    @Test
    void rejectedRequestIsNotRetriedAfterTheDrain() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedEngine.Script rejectingLate = (received, socket, output) -> {
            release.await();
            output.write(latin1(responseHead(received, 503, "X-Not-Executed: 1\r\nContent-Length: 0\r\n")));
        };
        try (ScriptedEngine engine = new ScriptedEngine(rejectingLate);
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            client.send(request("POST", "/once/a", "id", "", "x"));
            engine.nextRequest();
            fixture.router.drain(ENDED_AT_ONCE).get(5, TimeUnit.SECONDS);
            release.countDown();
            assertThat(client.readResponse().status()).isEqualTo(503);
            assertThat(engine.requests()).isEqualTo(1);
        }
    }
}
