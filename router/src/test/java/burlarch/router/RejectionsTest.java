package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that the router answers itself, without forwarding them to an instance. */
class RejectionsTest {
    private ScriptedEngine engine;
    private RouterFixture fixture;
    private RawClient client;

    @BeforeEach
    void start() throws Exception {
        engine = new ScriptedEngine(
                (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
        fixture = new RouterFixture(engine);
        client = fixture.client();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        fixture.close();
        engine.close();
    }

    @Test
    void unknownRouteGets404() throws Exception {
        assertThat(client.exchange(request("POST", "/other/a", "id", "", "x")).status())
                .isEqualTo(404);
        assertThat(client.exchange(request("POST", "/idem/a", "id", "", "x")).status())
                .isEqualTo(200);
    }

    @Test
    void unknownKeyGets401() throws Exception {
        String validRequest = request("POST", "/idem/a", "id", "", "x");
        assertThat(client.exchange(validRequest.replace("key-a", "key-b")).status())
                .isEqualTo(401);
        assertThat(client.exchange(validRequest.replace("X-Credential: key-a\r\n", ""))
                        .status())
                .isEqualTo(401);
        assertThat(client.exchange(validRequest.replace("X-Credential", "X-Credential: key-a\r\nX-Credential"))
                        .status())
                .isEqualTo(401);
        assertThat(engine.requests()).isZero();
    }

    @Test
    void requestWithoutIdGets400() throws Exception {
        String validRequest = request("POST", "/idem/a", "id", "", "x");
        assertThat(client.exchange(validRequest.replace("X-Request-Id: id\r\n", ""))
                        .status())
                .isEqualTo(400);
        assertThat(engine.requests()).isZero();
    }

    @Test
    void malformedTargetGets400AndClosesTheConnection() throws Exception {
        RawClient.Response response = client.exchange(request("GET", "/idem/%zz", "id", "", ""));
        assertThat(response.status()).isEqualTo(400);
        assertThat(response.header("Connection")).isEqualTo("close");
        assertThat(engine.requests()).isZero();
    }

    @Test
    void http10RequestIsRejected() throws Exception {
        RawClient.Response response =
                client.exchange(request("GET", "/idem/a", "id", "", "").replace("1.1", "1.0"));
        assertThat(response.status()).isEqualTo(505);
        assertThat(engine.requests()).isZero();
    }

    @Test
    void connectRequestIsRejected() throws Exception {
        assertThat(client.exchange(request("CONNECT", "one.example:80", "id", "", ""))
                        .status())
                .isEqualTo(400);
        assertThat(engine.requests()).isZero();
    }

    @Test
    void requestWhoseDeadlineHasPassedIsNotPlaced() throws Exception {
        String validRequest = request("POST", "/once/a", "id", "", "x").replace("Deadline: 8000", "Deadline: 1");
        assertThat(client.exchange(validRequest).status()).isEqualTo(503);
        assertThat(engine.requests()).isZero();
        assertThat(fixture.planner.sentCount).isZero();
    }

    @Test
    void malformedHintsAreIgnored() throws Exception {
        assertThat(client.exchange(
                                request("POST", "/idem/a", "id", "X-Token-Usage: 1;2\r\nX-Prefix-Hash: zz:,:\r\n", "x"))
                        .status())
                .isEqualTo(200);
        assertThat(fixture.planner.placedRequests.poll().segments()).isEmpty();
    }

    @Test
    void bodyAboveTheLimitGets413() throws Exception {
        RawClient.Response response =
                client.exchange("POST /idem/a HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: id\r\n"
                        + "X-Credential: key-a\r\nContent-Length: " + (RouterFixture.MAX_BODY_BYTES + 1)
                        + "\r\n\r\n");
        assertThat(response.status()).isEqualTo(413);
        assertThat(response.header("Connection")).isEqualTo("close");
    }

    @Test
    void chunkedBodyAboveTheLimitGets413() throws Exception {
        client.send("POST /idem/a HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: id\r\n"
                + "X-Credential: key-a\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n");
        String chunk = "4000\r\n" + "y".repeat(0x4000) + "\r\n";
        for (int i = 0; i <= RouterFixture.MAX_BODY_BYTES / 0x4000; i++) {
            client.send(chunk);
        }
        assertThat(client.readResponse().status()).isEqualTo(413);
        assertThat(engine.requests()).isZero();
    }

    @Test
    void bodyAtTheLimitIsForwarded() throws Exception {
        String body = "y".repeat(RouterFixture.MAX_BODY_BYTES);
        assertThat(client.exchange(request("POST", "/once/a", "id", "", body)).status())
                .isEqualTo(200);
        assertThat(engine.nextRequest().body()).hasSize(body.length());
    }

    @Test
    void headAboveTheLimitGets431AndClosesTheConnection() throws Exception {
        RawClient.Response response =
                client.exchange(request("GET", "/idem/a", "id", "X-Big: " + "y".repeat(20_000) + "\r\n", ""));
        assertThat(response.status()).isEqualTo(431);
        assertThat(response.header("Connection")).isEqualTo("close");
    }

    @Test
    void readinessFollowsTheStateOfTheRouter() throws Exception {
        try (RawClient platform = new RawClient(fixture.router.readinessPort())) {
            String readinessRequest = "GET /burlarch/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
            assertThat(platform.exchange(readinessRequest).status()).isEqualTo(200);
            fixture.router.setReady(false);
            assertThat(platform.exchange(readinessRequest).status()).isEqualTo(503);
        }
    }
}
