package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static burlarch.router.ScriptedEngine.responseHead;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random failures: many clients send requests while instances fail in every way. Each request must be executed at most
 * once unless its route allows retries, 503 must mean that it was not executed, and responses must not be mixed up.
 */
class ChaosTest {
    private static final int CLIENTS = 12;
    private static final int REQUESTS_PER_CLIENT = 60;
    private static final String[] PATHS = {"/idem/a", "/once/a", "/stream/a", "/resume/a"};

    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

    private void countExecution(ScriptedEngine.Received received) {
        executions
                .computeIfAbsent(received.header("X-Request-Id"), id -> new AtomicInteger())
                .incrementAndGet();
    }

    private ScriptedEngine.Script script(Random random) {
        return (received, socket, output) -> {
            int choice;
            synchronized (random) {
                choice = random.nextInt(100);
            }
            respond(choice, received, socket, output);
        };
    }

    private void respond(int choice, ScriptedEngine.Received received, Socket socket, OutputStream output)
            throws Exception {
        if (choice < 15) {
            output.write(latin1(responseHead(received, 503, "X-Not-Executed: 1\r\nContent-Length: 0\r\n")));
            return;
        }
        if (choice < 18) {
            output.write(latin1(responseHead(received, 421, "Content-Length: 0\r\n")));
            return;
        }
        countExecution(received);
        if (choice < 25) {
            socket.close();
        } else if (choice < 29) {
            output.write(latin1(responseHead(received, 200, "Content-Length: 50\r\n") + "cut"));
            output.flush();
            socket.close();
        } else if (choice < 33) {
            output.write(
                    latin1(completeResponse(received, "", "other").replace("X-Request-Id: ", "X-Request-Id: not-")));
        } else if (choice < 37) {
            output.write(latin1(completeResponse(received, "Keep-Alive: timeout=9\r\n", received.header("X-Request-Id"))
                    + completeResponse(received, "", "surplus")));
        } else if (choice < 40) {
            output.write(latin1(completeResponse(received, "Connection: close\r\n", received.header("X-Request-Id"))));
            output.flush();
            socket.close();
        } else if (choice < 43) {
            output.write(
                    latin1(completeResponse(received, "Keep-Alive: timeout=9\r\n", received.header("X-Request-Id"))));
            output.flush();
            socket.close();
        } else if (choice < 46) {
            output.write(latin1("garbage\r\n\r\n"));
        } else if (choice < 70) {
            respondStream(received, socket, output, choice % 2 == 0);
        } else {
            output.write(
                    latin1(completeResponse(received, "Keep-Alive: timeout=9\r\n", received.header("X-Request-Id"))));
        }
    }

    private static void respondStream(
            ScriptedEngine.Received received, Socket socket, OutputStream output, boolean truncated) throws Exception {
        StreamsTest.writeHead(received, output);
        String lastEventId = received.header("Last-Event-Id");
        for (int id = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1; id <= 6; id++) {
            if (truncated && id == 4) {
                output.write(latin1("8\r\nid: 4\nda\r\n"));
                output.flush();
                socket.close();
                return;
            }
            StreamsTest.writeEvent(output, id);
        }
        output.write(latin1("0\r\n\r\n"));
    }

    private static final class Counts {
        int succeeded;
        int unavailable;
        int failed;
    }

    private Callable<Counts> clientTask(RouterFixture fixture, int number, long seed) {
        return () -> {
            Random random = new Random(seed);
            Counts counts = new Counts();
            RawClient client = fixture.client();
            for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                String path = PATHS[random.nextInt(PATHS.length)];
                String id = "r" + number + "-" + i;
                RawClient.Response response = client.exchange(request("POST", path, id, "", "body of " + id));
                check(path, id, response, counts);
                if (!response.isComplete()) {
                    client.close();
                    client = fixture.client();
                }
            }
            client.close();
            return counts;
        };
    }

    private void check(String path, String id, RawClient.Response response, Counts counts) {
        boolean isRetryable = path.startsWith("/idem") || path.startsWith("/resume");
        int executionCount = executions.containsKey(id) ? executions.get(id).get() : 0;
        assertThat(executionCount).as("%s of %s", id, path).isLessThanOrEqualTo(isRetryable ? 3 : 1);
        assertThat(response.header("X-Request-Id")).isEqualTo(id);
        if (response.status() == 200) {
            assertThat(response.header("X-Response-Signature")).isEqualTo("sig." + id);
            if (response.isComplete()) {
                assertThat(response.body()).isIn(id, events());
                counts.succeeded++;
            } else {
                counts.failed++;
            }
        } else if (response.status() == 503) {
            assertThat(executionCount).as("%s of %s", id, path).isZero();
            counts.unavailable++;
        } else {
            assertThat(response.status()).isEqualTo(502);
            counts.failed++;
        }
    }

    private static String events() {
        StringBuilder text = new StringBuilder();
        for (int id = 1; id <= 6; id++) {
            text.append("id: ").append(id).append("\ndata: token ").append(id).append("\n\n");
        }
        return text.toString();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void invariantsHoldUnderRandomFailures(long seed) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        try (ScriptedEngine firstEngine = new ScriptedEngine(script(new Random(seed)));
                ScriptedEngine secondEngine = new ScriptedEngine(script(new Random(~seed)));
                RouterFixture fixture = new RouterFixture(firstEngine, secondEngine)) {
            List<Future<Counts>> countsOfClients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                countsOfClients.add(threads.submit(clientTask(fixture, i, seed + i)));
            }
            int succeeded = 0;
            for (Future<Counts> counts : countsOfClients) {
                succeeded += counts.get(60, TimeUnit.SECONDS).succeeded;
            }
            assertThat(succeeded).isGreaterThan(CLIENTS * REQUESTS_PER_CLIENT / 2);
            for (int i = 0; i < fixture.planner.sentCount; i++) {
                assertThat(fixture.planner.nextEndedAttempt().outcome())
                        .isNotIn(AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED);
            }
            assertThat(fixture.planner.endedAttempts).isEmpty();
        } finally {
            threads.shutdownNow();
        }
    }
}
