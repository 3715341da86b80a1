package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Drain of a proxy at SIGTERM. */
@Timeout(60)
class DrainTest {
    @Test
    void drainAnswersOpenRequestClosesConnectionsAndReturns() throws Exception {
        try (Fixture f = new Fixture();
                Socket idle = new Socket(f.address.getAddress(), f.address.getPort())) {
            CompletableFuture<HttpResponse<String>> openRequest = f.read("k");
            FakeServer.Received forwarded = f.cache.next();
            Thread drain = new Thread(f.main::drain);
            drain.start();
            // A connection with an answered request stays idle until the drain closes it.
            idle.setSoTimeout(20_000);
            idle.getOutputStream().write("GET /_health HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            idle.getInputStream().readAllBytes();
            assertTrue(drain.isAlive(), "the drain waits for the open request");
            forwarded.answer("200 OK", "v");
            assertEquals("v", openRequest.get().body());
            assertEquals(
                    "close",
                    openRequest.get().headers().firstValue("connection").orElse(""));
            drain.join();
        }
    }

    /** New connections keep arriving for a while after SIGTERM, and their requests must be served. */
    @Test
    void connectionsOpenedShortlyAfterDrainStartsAreServed() throws Exception {
        try (Fixture f = new Fixture()) {
            CompletableFuture<HttpResponse<String>> openRequest = f.read("k");
            FakeServer.Received forwarded = f.cache.next();
            Thread drain = new Thread(f.main::drain);
            drain.start();
            CompletableFuture<HttpResponse<String>> lateRequest = f.read("l");
            f.cache.next().answer("200 OK", "w");
            assertEquals("w", lateRequest.get().body());
            forwarded.answer("200 OK", "v");
            assertEquals("v", openRequest.get().body());
            drain.join();
        }
    }

    /** The client has no other proxy to use before the next start. */
    @Test
    void idleConnectionIsServedAfterListenerIsClosed() throws Exception {
        try (Fixture f = new Fixture();
                Socket keptConnection = new Socket(f.address.getAddress(), f.address.getPort())) {
            f.cache.answerWith("200 OK", "v");
            keptConnection.getOutputStream().write(request("k"));
            keptConnection.setSoTimeout(20_000);
            StringBuilder answers = new StringBuilder();
            while (!answers.toString().endsWith("\r\n\r\nv")) {
                answers.append((char) keptConnection.getInputStream().read());
            }
            Thread drain = new Thread(f.main::drain);
            drain.start();
            while (acceptsConnections(f)) {
                Thread.onSpinWait();
            }
            keptConnection.getOutputStream().write(request("l"));
            answers.append(new String(keptConnection.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
            assertEquals(3, answers.toString().split("HTTP/1.1 200 OK").length, answers.toString());
            drain.join();
        }
    }

    private static byte[] request(String key) {
        return BadInputTest.request("GET", "/look/" + key, "").getBytes(StandardCharsets.UTF_8);
    }

    private static boolean acceptsConnections(Fixture f) {
        try (Socket socket = new Socket(f.address.getAddress(), f.address.getPort())) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }
}
