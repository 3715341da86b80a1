package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * An instance on a socket whose responses are drawn by a seed: rejections, pieces at any byte boundary, and a response
 * that comes once more in the place of the next one. Guards against a client that is told that its request did not run
 * although it ran, or that gets the response to another request.
 */
@Timeout(60)
class DrawnResponsesTest {
    private static final int SEEDS = 40;
    private static final int REQUESTS_PER_SEED = 40;
    private static final double REJECTION_PROBABILITY = 0.4;
    private static final double SURPLUS_PROBABILITY = 0.5;
    private static final int MAX_PIECES = 4;
    private static final List<Integer> REJECTIONS = List.of(421, 429, 503);
    private static final List<String> PATHS = List.of("/once/a", "/stream/a", "/idem/a");

    /** Engine that draws its responses. Its connections are served by one thread each. */
    private static final class DrawingEngine implements ScriptedEngine.Script {
        private final Random random;
        /** The latest response on each connection. */
        private final Map<Integer, byte[]> latestResponses = new HashMap<>();

        private final Map<String, Integer> executions = new ConcurrentHashMap<>();

        DrawingEngine(long seed) {
            random = new Random(seed);
        }

        @Override
        public synchronized void respond(ScriptedEngine.Received received, Socket socket, OutputStream output)
                throws IOException {
            byte[] latest = latestResponses.get(received.connection());
            if (latest != null && random.nextDouble() < SURPLUS_PROBABILITY) {
                write(output, latest);
            }
            byte[] response = response(received.header("X-Request-Id"));
            latestResponses.put(received.connection(), response);
            write(output, response);
        }

        private byte[] response(String id) {
            if (random.nextDouble() < REJECTION_PROBABILITY) {
                int status = REJECTIONS.get(random.nextInt(REJECTIONS.size()));
                return bytes(status, id, "Versions: 2\r\nX-Not-Executed: 1\r\n", "");
            }
            executions.merge(id, 1, Integer::sum);
            return bytes(200, id, "X-Response-Signature: s." + id + "\r\n", body(id));
        }

        private void write(OutputStream output, byte[] response) throws IOException {
            int pieces = 1 + random.nextInt(MAX_PIECES);
            int from = 0;
            for (int piece = 1; piece < pieces && from < response.length; piece++) {
                int to = from + random.nextInt(response.length - from);
                output.write(response, from, to - from);
                output.flush();
                from = to;
            }
            output.write(response, from, response.length - from);
            output.flush();
        }

        int executionsOf(String id) {
            return executions.getOrDefault(id, 0);
        }
    }

    private static byte[] bytes(int status, String id, String headers, String body) {
        String response = "HTTP/1.1 " + status + " Said\r\nX-Request-Id: " + id + "\r\nKeep-Alive: timeout=9\r\n"
                + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        return response.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String body(String id) {
        return "body of " + id;
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void drawnResponsesNeitherBreakAPromiseNorMixRequests(long seed) throws Exception {
        DrawingEngine drawing = new DrawingEngine(seed);
        Random random = new Random(-seed);
        try (ScriptedEngine engine = new ScriptedEngine(drawing);
                RouterFixture fixture = new RouterFixture(engine)) {
            for (int number = 0; number < REQUESTS_PER_SEED; number++) {
                String path = PATHS.get(random.nextInt(PATHS.size()));
                String id = "r" + number;
                RawClient.Reply reply;
                try (RawClient client = fixture.client()) {
                    reply = client.tryExchange(request("POST", path, id, "", "x"));
                }
                check(path, id, reply, drawing.executionsOf(id));
            }
        }
    }

    private static void check(String path, String id, RawClient.Reply reply, int executions) {
        String description = id + " on " + path + " with status " + reply.status();
        if (!path.startsWith("/idem/")) {
            assertThat(executions).as(description).isLessThanOrEqualTo(1);
            if (Set.of(408, 421, 429, 503).contains(reply.status())) {
                assertThat(executions).as(description).isZero();
            }
        }
        if (reply.isCompleteSuccess()) {
            assertThat(reply.response().header("X-Request-Id")).isEqualTo(id);
            assertThat(reply.response().body()).isEqualTo(body(id));
        }
    }

    @Test
    void responseIsForwardedWhereverItIsSplit() throws Exception {
        byte[] response = bytes(200, "split", "X-Response-Signature: s\r\n", body("split"));
        int[] boundary = {0};
        ScriptedEngine.Script splitting = (received, socket, output) -> {
            output.write(response, 0, boundary[0]);
            output.flush();
            Thread.sleep(1);
            output.write(response, boundary[0], response.length - boundary[0]);
            output.flush();
        };
        try (ScriptedEngine engine = new ScriptedEngine(splitting);
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            for (boundary[0] = 0; boundary[0] <= response.length; boundary[0]++) {
                RawClient.Response forwarded = client.exchange(request("POST", "/once/a", "split", "", "x"));
                assertThat(forwarded.status()).as("split at %d", boundary[0]).isEqualTo(200);
                assertThat(forwarded.body()).isEqualTo(body("split"));
            }
        }
    }
}
