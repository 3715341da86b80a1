package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import burlarch.golden.RawHttp;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Statuses, headers and bodies that the router sends to clients and engines equal those of the previous release. */
@Timeout(60)
class RouterHttpGoldenTest {
    private static final String HINTS = "X-Token-Usage: 10;20\r\nX-Session-Id: s-1\r\nX-Prefix-Hash: 1f:100,2e:50\r\n"
            + "X-Max-Tokens: 7\r\nX-Model: m\r\nX-Unknown: kept\r\nConnection: X-Hop\r\nX-Hop: dropped\r\n";

    @Test
    void messagesEqualThoseOfThePreviousRelease() throws Exception {
        assertThat(recordTranscript()).isEqualTo(new GoldenFiles("router-http").lines("transcript.txt"));
    }

    /** Returns each request, what the engine received of it, and the complete response except its date. */
    static List<String> recordTranscript() throws Exception {
        List<String> lines = new ArrayList<>();
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    String extraHeaders = "X-Engine: kept\r\nConnection: X-Gone\r\nX-Gone: dropped\r\n";
                    output.write(
                            ScriptedEngine.latin1(ScriptedEngine.completeResponse(received, extraHeaders, "done")));
                });
                RouterFixture fixture = new RouterFixture(engine)) {
            RecordingClient client = new RecordingClient(fixture, engine, lines);
            for (String route : List.of("idem", "once", "stream", "resume")) {
                client.exchange(request("POST", "/" + route + "/a?b=c", "id-" + route, HINTS, "body"));
            }
            client.exchange(request("GET", "/idem/a", "id-get", "", ""));
            recordRejections(client);
            recordReadiness(fixture, lines);
        }
        return lines;
    }

    private static void recordRejections(RecordingClient client) throws Exception {
        String validRequest = request("POST", "/idem/a", "id", "", "x");
        client.exchange(request("POST", "/other/a", "id", "", "x"));
        client.exchange(validRequest.replace("key-a", "key-b"));
        client.exchange(validRequest.replace("X-Credential: key-a\r\n", ""));
        client.exchange(validRequest.replace("X-Request-Id: id\r\n", ""));
        client.exchange(validRequest.replace("Deadline: 8000", "Deadline: 1"));
        client.exchange(validRequest.replace("HTTP/1.1", "HTTP/1.0"));
        client.exchange(request("GET", "/idem/%zz", "id", "", ""));
        client.exchange(request("CONNECT", "one.example:80", "id", "", ""));
        client.exchange("POST /idem/a HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: id\r\nX-Credential: key-a\r\n"
                + "Content-Length: " + (RouterFixture.MAX_BODY_BYTES + 1) + "\r\n\r\n");
        client.exchange(request("GET", "/idem/a", "id", "X-Big: " + "y".repeat(20_000) + "\r\n", ""));
    }

    private static void recordReadiness(RouterFixture fixture, List<String> lines) throws IOException {
        for (boolean ready : new boolean[] {true, false}) {
            fixture.router.setReady(ready);
            for (String path : List.of("/burlarch/readyz", "/burlarch/other")) {
                lines.add("> readiness " + ready + " " + path);
                lines.addAll(RawHttp.exchange(
                        fixture.router.readinessPort(), "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"));
            }
        }
    }

    private static final class RecordingClient {
        private final RouterFixture fixture;
        private final ScriptedEngine engine;
        private final List<String> lines;

        RecordingClient(RouterFixture fixture, ScriptedEngine engine, List<String> lines) {
            this.fixture = fixture;
            this.engine = engine;
            this.lines = lines;
        }

        void exchange(String request) throws Exception {
            int requestsBefore = engine.requests();
            String shortened = request.replaceAll("y{100,}", "y...");
            lines.add("> " + shortened.replace("\r\n", " | ").strip());
            List<String> response = RawHttp.exchange(fixture.router.frontPort(), request);
            if (engine.requests() > requestsBefore) {
                ScriptedEngine.Received received = engine.nextRequest();
                for (String line : RawHttp.lines(received.head().strip() + "\r\n\r\n")) {
                    lines.add("  engine: " + normalize(line));
                }
                lines.add("  engine: " + new String(received.body(), StandardCharsets.UTF_8));
            }
            response.forEach(line -> lines.add(normalize(line)));
        }

        /** Replaces what differs between runs: ports and remaining milliseconds. */
        private static String normalize(String line) {
            return line.replaceAll("127\\.0\\.0\\.1:[0-9]+", "ENGINE")
                    .replaceAll("(?i)(X-Request-Deadline: )[0-9]+", "$1MILLIS");
        }
    }
}
