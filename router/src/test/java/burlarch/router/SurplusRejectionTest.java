package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static burlarch.router.ScriptedEngine.responseHead;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * An instance rejects a request and sends the rejection a second time when the request comes again over the same
 * connection. Guards against a surplus rejection that is taken for the response to the retry, so that the client gets
 * 503 for a request that the instance runs (REFUSED).
 */
class SurplusRejectionTest {
    private static final String KEEP_ALIVE = "Keep-Alive: timeout=9\r\nContent-Length: 0\r\n";

    private final Set<String> sends = ConcurrentHashMap.newKeySet();
    private final List<String> run = new CopyOnWriteArrayList<>();

    private static Stream<Arguments> rejections() {
        List<Arguments> rejections = new ArrayList<>();
        for (String path : List.of("/once/a", "/stream/a")) {
            rejections.add(Arguments.of(path, 421, "Versions: 2\r\n"));
            rejections.add(Arguments.of(path, 429, "X-Not-Executed: 1\r\n"));
            rejections.add(Arguments.of(path, 503, "X-Not-Executed: 1\r\n"));
        }
        return rejections.stream();
    }

    /** Rejects the first send of a request, and the sends over a connection that has carried the request before. */
    private ScriptedEngine.Script rejectingFirstSend(int status, String headers) {
        return (received, socket, output) -> {
            String id = received.header("X-Request-Id");
            boolean isFirstSend = sends.add(id);
            boolean isSurplusDue = !sends.add(id + " over " + received.connection());
            if (!isFirstSend) {
                run.add(id);
            }
            boolean isRejected = id.startsWith("rejected") && (isFirstSend || isSurplusDue);
            output.write(latin1(
                    isRejected
                            ? responseHead(received, status, headers + KEEP_ALIVE)
                            : completeResponse(received, "Keep-Alive: timeout=9\r\n", "good")));
        };
    }

    @ParameterizedTest
    @MethodSource("rejections")
    void surplusRejectionIsNotTakenForTheResponseToTheRetry(String path, int status, String headers) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(rejectingFirstSend(status, headers));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            assertThat(client.exchange(request("POST", path, "first", "", "x")).status())
                    .isEqualTo(200);
            RawClient.Response response = client.exchange(request("POST", path, "rejected", "", "x"));
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("good");
            assertThat(run).containsExactly("rejected");
        }
    }

    /** A connection that has carried a rejected request stays usable for other requests. */
    @ParameterizedTest
    @MethodSource("rejections")
    void connectionOfTheRejectionIsReusedForOtherRequests(String path, int status, String headers) throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine(rejectingFirstSend(status, headers));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            for (String id : List.of("rejected1", "rejected2", "rejected3", "other")) {
                assertThat(client.exchange(request("POST", path, id, "", "x")).status())
                        .isEqualTo(200);
            }
            assertThat(engine.connections()).isLessThan(engine.requests());
        }
    }
}
