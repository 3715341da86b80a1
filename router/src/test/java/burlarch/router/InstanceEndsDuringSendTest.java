package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An instance closes its connection after some byte of a request. It may have executed the request after reading only a
 * part of it, so a non-retryable request must not be sent again.
 */
class InstanceEndsDuringSendTest {
    private static final int WAIT_MILLIS = 10_000;
    private static final int SHORT_BODY_BYTES = 11;
    /** Exceeds the buffers of both sockets, so that the write is not complete when the connection ends. */
    private static final int LONG_BODY_BYTES = 15_000_000;
    /** Exceeds the length of the head that the router writes. */
    private static final int LONG_READ_BYTES = 100_000;

    private static boolean readAndEndConnection(ServerSocket listener, int bytes, boolean reset) {
        try (Socket socket = listener.accept()) {
            socket.setSoTimeout(WAIT_MILLIS);
            int readBytes = socket.getInputStream().readNBytes(bytes).length;
            if (reset) {
                ScriptedEngine.reset(socket);
            }
            return readBytes == bytes;
        } catch (java.io.IOException failure) {
            return false;
        }
    }

    private static void assertSentOnceAndAnswered502(
            RouterFixture fixture, ServerSocket listener, int bytes, boolean reset, String body) throws Exception {
        CompletableFuture<Boolean> instanceReadAll =
                CompletableFuture.supplyAsync(() -> readAndEndConnection(listener, bytes, reset));
        try (RawClient client = fixture.client()) {
            RawClient.Reply reply = client.tryExchange(request("POST", "/once/a", "id", "", body));
            assertThat(reply.status()).as("after %d bytes", bytes).isEqualTo(502);
        }
        assertThat(instanceReadAll.get(WAIT_MILLIS, TimeUnit.MILLISECONDS))
                .as("read %d bytes", bytes)
                .isTrue();
        assertThat(fixture.planner.placedRequests).as("after %d bytes", bytes).hasSize(1);
        fixture.planner.placedRequests.clear();
    }

    private static ServerSocket listener() throws Exception {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        listener.setSoTimeout(WAIT_MILLIS);
        return listener;
    }

    /** Ends the connection after each byte of a short request, and at several points of a long one. */
    @ParameterizedTest
    @CsvSource({
        "false, " + SHORT_BODY_BYTES,
        "true, " + SHORT_BODY_BYTES,
        "false, " + LONG_BODY_BYTES,
        "true, " + LONG_BODY_BYTES
    })
    void nonRetryableRequestIsSentOnce(boolean reset, int bodyBytes) throws Exception {
        boolean isShort = bodyBytes == SHORT_BODY_BYTES;
        try (ServerSocket listener = listener();
                ScriptedEngine unusedEngine = new ScriptedEngine((in, socket, output) -> {});
                RouterFixture fixture = new RouterFixture(2 * LONG_BODY_BYTES, unusedEngine)) {
            fixture.planner.setAddresses("127.0.0.1:" + listener.getLocalPort());
            String body = "b".repeat(bodyBytes);
            int maxBytes = isShort ? request("POST", "/once/a", "id", "", body).length() : LONG_READ_BYTES;
            int step = isShort ? 1 : LONG_READ_BYTES / 5;
            for (int bytes = 1; bytes <= maxBytes; bytes += step) {
                assertSentOnceAndAnswered502(fixture, listener, bytes, reset, body);
            }
        }
    }
}
