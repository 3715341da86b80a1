package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A client connection ends after each byte of a request, in each way in which a connection can end: an incomplete
 * request must never be forwarded, and other requests must be unaffected.
 */
class MalformedRequestsTest {
    private static final String HEAD =
            "POST /once/a HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: cut\r\n" + "X-Credential: key-a\r\n";

    private enum Framing {
        LENGTH("Content-Length: 11\r\n\r\nhello world"),
        CHUNKS("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n"),
        TRAILER("Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\nX-Sum: 1\r\n\r\n");

        private final String request;

        Framing(String remainder) {
            request = HEAD + remainder;
        }
    }

    private enum End {
        CLOSE,
        HALF_CLOSE,
        RESET
    }

    private static void end(RawClient client, End end) throws Exception {
        switch (end) {
            case CLOSE -> client.close();
            case HALF_CLOSE -> client.shutdownOutput();
            case RESET -> client.reset();
        }
    }

    @ParameterizedTest
    @EnumSource(Framing.class)
    void malformedRequestIsNeverForwarded(Framing framing) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) ->
                        output.write(latin1(completeResponse(received, "Keep-Alive: timeout=9\r\n", "good"))));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient otherClient = fixture.client()) {
            for (End end : End.values()) {
                for (int sentBytes = 0; sentBytes < framing.request.length(); sentBytes++) {
                    try (RawClient client = fixture.client()) {
                        client.send(framing.request.substring(0, sentBytes));
                        end(client, end);
                        assertThat(end != End.HALF_CLOSE || client.endsWithoutSuccess())
                                .as("%d bytes, then %s", sentBytes, end)
                                .isTrue();
                    }
                }
                assertThat(otherClient
                                .exchange(request("POST", "/once/a", "whole", "", "x"))
                                .body())
                        .isEqualTo("good");
            }
            assertThat(engine.requests()).isEqualTo(End.values().length);
            assertThat(fixture.planner.placedRequests).hasSize(End.values().length);
            assertThat(engine.connections()).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @EnumSource(Framing.class)
    void completeRequestIsForwarded(Framing framing) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) ->
                        output.write(latin1(completeResponse(received, "", new String(received.body())))));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            assertThat(client.exchange(framing.request).body()).isEqualTo("hello world");
        }
    }
}
