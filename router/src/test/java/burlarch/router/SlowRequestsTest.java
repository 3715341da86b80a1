package burlarch.router;

import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against clients that hold connections and memory for ever by sending a request byte by byte. */
class SlowRequestsTest {
    private static final int BYTES = 1_000;
    private static final long PAUSE_MILLIS = 50;

    private ScriptedEngine engine;
    private RouterFixture fixture;

    @BeforeEach
    void start() throws Exception {
        engine = new ScriptedEngine(
                (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
        fixture = new RouterFixture(engine);
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        engine.close();
    }

    @Test
    void headThatArrivesByteByByteEndsItsConnection() throws Exception {
        try (RawClient client = fixture.client()) {
            Thread sender = sendSlowly(client, "GET /idem/a HTTP/1.1\r\nHost: one.example\r\nX-Slow: ");
            assertThat(client.isClosedByPeer()).isTrue();
            sender.join();
        }
        assertThat(engine.requests()).isZero();
    }

    /** A head in two parts is not late, and the time of one head does not count for the next. */
    @Test
    void headsInPartsAreServed() throws Exception {
        try (RawClient client = fixture.client()) {
            for (int i = 0; i < 3; i++) {
                String request = RouterFixture.request("POST", "/idem/a", "r-" + i, "", "x");
                client.send(request.substring(0, 30));
                Thread.sleep(PAUSE_MILLIS);
                assertThat(client.exchange(request.substring(30)).status()).isEqualTo(200);
            }
        }
    }

    /** The status promises that the request has not run. */
    @Test
    void bodyThatArrivesByteByByteEndsAtTheDeadline() throws Exception {
        try (RawClient client = fixture.client()) {
            String head = "POST /once/a HTTP/1.1\r\nHost: one.example\r\nX-Request-Id: slow\r\nX-Credential: key-a\r\n"
                    + "X-Request-Deadline: 1000\r\nContent-Length: " + 10 * BYTES + "\r\n\r\n";
            Thread sender = sendSlowly(client, head);
            assertThat(client.readResponse().status()).isEqualTo(408);
            sender.join();
        }
        assertThat(engine.requests()).isZero();
    }

    /** Sends the text, and then single bytes until the connection is closed. */
    private static Thread sendSlowly(RawClient client, String text) throws IOException {
        client.send(text);
        Thread sender = new Thread(() -> {
            try {
                for (int i = 0; i < BYTES; i++) {
                    client.send("x");
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (IOException | InterruptedException closed) {
                return;
            }
        });
        sender.setDaemon(true);
        sender.start();
        return sender;
    }
}
