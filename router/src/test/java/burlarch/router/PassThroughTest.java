package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import burlarch.routing.ServerLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Forwarding: which bytes of a request the instance receives, and which bytes of the response the client gets. */
class PassThroughTest {
    @Test
    void requestAndResponseAreForwardedUnchanged() throws Exception {
        try (ScriptedEngine engine =
                        new ScriptedEngine((received, socket, output) -> output.write(latin1(completeResponse(
                                received,
                                "Content-Type: text/x\r\nX-Server-Load: 3,1,8\r\nVersions: 9\r\n"
                                        + "Connection: X-Hop\r\nX-Hop: 1\r\n",
                                "the body"))));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            RawClient.Response response = client.exchange(request(
                    "POST",
                    "/idem/a?b=c",
                    "id-1",
                    "X-Model: m\r\nX-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e:800,ffffffffffffffff:410\r\n"
                            + "X-Own: v\u00e9\r\nX-Tenant-Id: forged\r\nX-Target-Instance: forged\r\n"
                            + "Priority: 0\r\n"
                            + "Cache-Salt: forged\r\nKv-Fetch: forged\r\nKv-Save: forged\r\n"
                            + "Expect-Version: 1\r\n"
                            + "Connection: X-Drop\r\nX-Drop: 1\r\nTE: trailers\r\n",
                    "some \u00e9 body"));
            ScriptedEngine.Received received = engine.nextRequest();
            assertThat(received.requestLine()).isEqualTo("POST /idem/a?b=c HTTP/1.1");
            assertThat(received.body()).isEqualTo(latin1("some \u00e9 body"));
            assertThat(received.head())
                    .contains(
                            "\r\nHost: one.example\r\n",
                            "\r\nX-Request-Id: id-1\r\n",
                            "\r\nX-Own: v\u00e9\r\n",
                            "\r\nX-Tenant-Id: tenant-a\r\n",
                            "\r\nX-Target-Instance: i-0\r\n",
                            "\r\nCache-Salt: salt\r\n",
                            "\r\nExpect-Version: 7\r\n",
                            "\r\nKv-Fetch: 10.0.0.1:1\r\n",
                            "\r\nKv-Save: 10.0.0.2:2\r\n",
                            "\r\nPriority: 3\r\n")
                    .doesNotContain("forged", "X-Drop", "TE:", "X-Credential", "User-Agent", "Accept-Encoding");
            assertThat(Long.parseLong(received.header("X-Request-Deadline"))).isBetween(1L, 8000L);
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("the body");
            assertThat(response.header("X-Response-Signature")).isEqualTo("sig.id-1");
            assertThat(response.header("Content-Type")).isEqualTo("text/x");
            assertThat(response.header("Versions")).isEqualTo("9");
            assertThat(response.head()).doesNotContain("X-Hop");
            assertThat(fixture.planner.nextEndedAttempt())
                    .isEqualTo(
                            new ScriptedPlanner.EndedAttempt("i-0", AttemptOutcome.ANSWERED, new ServerLoad(3, 1, 8)));
            assertThat(fixture.planner.weightsVersions.poll()).isEqualTo("i-0 m 9");
            var request = fixture.planner.placedRequests.poll();
            assertThat(request.promptTokens()).isEqualTo(1460);
            assertThat(request.maxOutputTokens()).isEqualTo(80);
            assertThat(request.segments()).hasSize(2);
            assertThat(request.segments().get(1).id()).isEqualTo(-1L);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/idem/a//b/../c/./d",
                "/idem/%2e%2E/%2f%25",
                "/idem/a;x=1;y?q=%41&r=a?b/c",
                "/idem/?",
                "/idem/a?",
                "/idem/a?x={}|\\^`\"<>",
                "/idem/%C3%A9~!$&'()*+,=:@[]"
            })
    void targetIsForwardedByteForByte(String target) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(
                        (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            assertThat(client.exchange(request("GET", target, "id", "", "")).status())
                    .isEqualTo(200);
            assertThat(engine.nextRequest().requestLine()).isEqualTo("GET " + target + " HTTP/1.1");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD", "BREW"})
    void methodIsForwarded(String method) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(
                        (received, socket, output) -> output.write(latin1(ScriptedEngine.responseHead(
                                received, 200, "Content-Length: " + (method.equals("HEAD") ? 5 : 0) + "\r\n"))));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            client.send(request(method, "/idem/a", "id", "", ""));
            assertThat(client.readHead())
                    .startsWith("HTTP/1.1 200")
                    .contains("Content-Length: " + (method.equals("HEAD") ? 5 : 0));
            assertThat(engine.nextRequest().requestLine()).isEqualTo(method + " /idem/a HTTP/1.1");
            client.send(request(method, "/idem/b", "id", "", ""));
            assertThat(client.readHead()).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void chunkedRequestIsForwardedComplete() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(
                        (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            client.send("POST /once/a HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: id\r\n"
                    + "X-Credential: key-a\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
            client.send("6\r\n world\r\n0\r\n\r\n");
            assertThat(client.readResponse().status()).isEqualTo(200);
            ScriptedEngine.Received received = engine.nextRequest();
            assertThat(received.body()).isEqualTo(latin1("hello world"));
            assertThat(received.header("Transfer-Encoding")).isNull();
        }
    }

    @Test
    void failureOfTheInstanceIsForwardedUnchanged() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> output.write(
                        latin1(ScriptedEngine.responseHead(received, 500, "Content-Length: 4\r\n") + "oops")));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            RawClient.Response response = client.exchange(request("POST", "/idem/a", "id", "", "x"));
            assertThat(response.status()).isEqualTo(500);
            assertThat(response.body()).isEqualTo("oops");
            assertThat(response.header("X-Response-Signature")).isEqualTo("sig.id");
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.FAILED);
            assertThat(engine.requests()).isEqualTo(1);
        }
    }

    @Test
    void connectionsOnBothSidesAreReused() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) ->
                        output.write(latin1(completeResponse(received, "Keep-Alive: timeout=10\r\n", "x"))));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            for (int i = 0; i < 20; i++) {
                assertThat(client.exchange(request("POST", "/once/a", "id" + i, "", "x"))
                                .status())
                        .isEqualTo(200);
            }
            assertThat(engine.connections()).isEqualTo(1);
        }
    }

    @Test
    void pipelinedRequestIsAnsweredNext() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) ->
                        output.write(latin1(completeResponse(received, "", received.header("X-Request-Id")))));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            client.send(request("POST", "/once/a", "first", "", "x") + request("POST", "/once/a", "second", "", "x"));
            assertThat(client.readResponse().body()).isEqualTo("first");
            assertThat(client.readResponse().body()).isEqualTo("second");
        }
    }
}
