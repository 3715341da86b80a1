package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.router.lifecycle.DrainSchedule;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.RepeatedTest;

/**
 * Clients keep opening connections to a router until it is gone. Guards against requests that an instance has run and
 * whose connection ends without a response, because they arrived between the end of the drain and that of the process.
 */
class DrainUnderLoadTest {
    private static final int CLIENTS = 6;
    private static final long WORK_MILLIS = 2;
    /** Longest pause of a client between two requests, so that moments without a request occur on a fast machine. */
    private static final int MAX_PAUSE_MILLIS = 20;
    /** Responses before the drain starts, so that all clients send. */
    private static final int RESPONSES_BEFORE_DRAIN = 3 * CLIENTS;
    /** Longer than the clients' deadlines, so that requests are accepted at first and rejected before the end. */
    private static final long END_MILLIS = 12_000;

    private static final long LATE_MILLIS = 5000;
    private static final DrainSchedule FROM_NOW = new DrainSchedule(0, 0, END_MILLIS);
    /** Time that the process needs to notify its members before it closes the connections. */
    private static final long EXIT_MILLIS = 50;

    private final Set<String> run = ConcurrentHashMap.newKeySet();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private final CountDownLatch underLoad = new CountDownLatch(RESPONSES_BEFORE_DRAIN);
    private final AtomicBoolean stopped = new AtomicBoolean();

    @RepeatedTest(5)
    void eachRequestThatRanIsAnsweredWhenTheProcessEndsAfterTheDrain() throws Exception {
        List<Thread> clients = new ArrayList<>();
        Set<String> runBeforeTheEnd;
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    run.add(received.header("X-Request-Id"));
                    Thread.sleep(WORK_MILLIS);
                    output.write(latin1(completeResponse(received, "", "x")));
                });
                RouterFixture fixture = new RouterFixture(engine)) {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(startClient(fixture, i));
            }
            assertThat(underLoad.await(10, TimeUnit.SECONDS)).isTrue();
            fixture.router.drain(FROM_NOW).get(END_MILLIS + LATE_MILLIS, TimeUnit.MILLISECONDS);
            runBeforeTheEnd = Set.copyOf(run);
            Thread.sleep(EXIT_MILLIS);
            fixture.router.closeClientConnections();
        } finally {
            stopped.set(true);
            for (Thread client : clients) {
                client.join();
            }
        }
        assertThat(run).isEqualTo(runBeforeTheEnd);
        assertThat(answered).containsAll(run);
    }

    private Thread startClient(RouterFixture fixture, int clientNumber) {
        int port = fixture.router.frontPort();
        Thread thread = new Thread(() -> sendUntilStopped(port, clientNumber), "client-" + clientNumber);
        thread.start();
        return thread;
    }

    private void sendUntilStopped(int port, int clientNumber) {
        Random random = new Random(clientNumber);
        for (int number = 0; !stopped.get(); number++) {
            String id = "client-" + clientNumber + "-" + number;
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(random.nextInt(MAX_PAUSE_MILLIS)));
            try (RawClient client = new RawClient(port)) {
                if (client.tryExchange(request("POST", "/once/a", id, "", "x")).isCompleteSuccess()) {
                    answered.add(id);
                    underLoad.countDown();
                }
            } catch (IOException refused) {
                return;
            }
        }
    }
}
