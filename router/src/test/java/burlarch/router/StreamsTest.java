package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Streams and large bodies are forwarded as they arrive; a stream ends when its client disconnects. */
class StreamsTest {
    private static final String STREAM_HEADERS =
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=9\r\n";

    static void writeHead(ScriptedEngine.Received received, OutputStream output) throws Exception {
        output.write(latin1(ScriptedEngine.responseHead(received, 200, STREAM_HEADERS)));
        output.flush();
    }

    static void writeEvent(OutputStream output, int id) throws Exception {
        String event = "id: " + id + "\ndata: token " + id + "\n\n";
        output.write(latin1(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n"));
        output.flush();
    }

    @Test
    void eachEventIsForwardedImmediately() throws Exception {
        Semaphore receivedEvents = new Semaphore(0);
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    writeHead(received, output);
                    for (int id = 1; id <= 5; id++) {
                        writeEvent(output, id);
                        if (!receivedEvents.tryAcquire(5, TimeUnit.SECONDS)) {
                            return;
                        }
                    }
                    output.write(latin1("0\r\n\r\n"));
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            client.send(request("POST", "/stream/a", "id", "", "x"));
            assertThat(client.readHead()).contains("text/event-stream");
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int id = 1; id <= 5; id++) {
                assertThat(client.readChunk(body)).isTrue();
                assertThat(body.toString()).endsWith("id: " + id + "\ndata: token " + id + "\n\n");
                receivedEvents.release();
            }
            assertThat(client.readChunk(body)).isFalse();
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.ANSWERED);
        }
    }

    @Test
    void disconnectBeforeTheResponseCancelsTheAttempt() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    if (socket.getInputStream().read() < 0) {
                        closed.countDown();
                    }
                });
                RouterFixture fixture = new RouterFixture(engine)) {
            RawClient client = fixture.client();
            client.send(request("POST", "/stream/a", "id", "", "x"));
            engine.nextRequest();
            client.close();
            assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.CANCELLED);
        }
    }

    @Test
    void disconnectWithinTheStreamCancelsTheAttempt() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    writeHead(received, output);
                    writeEvent(output, 1);
                    if (socket.getInputStream().read() < 0) {
                        closed.countDown();
                    }
                });
                RouterFixture fixture = new RouterFixture(engine)) {
            RawClient client = fixture.client();
            client.send(request("POST", "/stream/a", "id", "", "x"));
            client.readHead();
            client.close();
            assertThat(closed.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.CANCELLED);
        }
    }

    @Test
    void largeResponseIsForwardedToASlowClient() throws Exception {
        int length = 3_000_000;
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    output.write(
                            latin1(ScriptedEngine.responseHead(received, 200, "Content-Length: " + length + "\r\n")));
                    byte[] bytes = new byte[length];
                    for (int i = 0; i < length; i++) {
                        bytes[i] = (byte) ('a' + i % 23);
                    }
                    output.write(bytes);
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            RawClient.Response response = client.exchange(request("POST", "/once/a", "id", "", "x"));
            assertThat(response.isComplete()).isTrue();
            assertThat(response.body().chars().filter(c -> c == 'a').count()).isEqualTo((length + 22) / 23);
            assertThat(response.body()).startsWith("abc").endsWith("" + (char) ('a' + (length - 1) % 23));
        }
    }
}
