package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.latin1;
import static burlarch.router.ScriptedEngine.responseHead;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The end of the connection marks the end of a response without a length. Only an orderly close completes it. A reset
 * was once treated as an end of input, so that a truncated response was forwarded as complete.
 */
class ResponseOfUnknownLengthTest {
    private static final String UNTIL_CLOSE = "Connection: close\r\n";

    @Test
    void orderlyCloseCompletesTheResponse() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    output.write(latin1(responseHead(received, 200, UNTIL_CLOSE) + "all of it"));
                    output.flush();
                    socket.close();
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            RawClient.Response response = client.exchange(request("POST", "/once/a", "id", "", "x"));
            assertThat(response.isComplete()).isTrue();
            assertThat(response.body()).isEqualTo("all of it");
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.ANSWERED);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/a", "/idem/a", "/stream/a"})
    void resetWithinTheResponseTruncatesIt(String path) throws Exception {
        CountDownLatch chunkReceived = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    output.write(latin1(responseHead(received, 200, UNTIL_CLOSE) + "half of"));
                    output.flush();
                    chunkReceived.await();
                    ScriptedEngine.reset(socket);
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            client.send(request("POST", path, "id", "", "x"));
            client.readHead();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            client.readChunk(body);
            chunkReceived.countDown();
            assertThat(client.isClosedByPeer()).isTrue();
            assertThat(body.toString()).isEqualTo("half of");
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.BROKEN);
        }
    }

    @Test
    void retryableRequestIsRetriedAfterResetBeforeTheFirstBodyByte() throws Exception {
        try (ScriptedEngine resettingEngine = new ScriptedEngine((received, socket, output) -> {
                    output.write(latin1(responseHead(received, 200, UNTIL_CLOSE)));
                    output.flush();
                    ScriptedEngine.reset(socket);
                });
                ScriptedEngine otherEngine = new ScriptedEngine((received, socket, output) ->
                        output.write(latin1(ScriptedEngine.completeResponse(received, "", "good"))));
                RouterFixture fixture = new RouterFixture(resettingEngine, otherEngine);
                RawClient client = fixture.client()) {
            assertThat(client.exchange(request("POST", "/idem/a", "id", "", "x"))
                            .body())
                    .isEqualTo("good");
            assertThat(client.exchange(request("POST", "/once/a", "id2", "", "x"))
                            .status())
                    .isEqualTo(502);
        }
    }
}
