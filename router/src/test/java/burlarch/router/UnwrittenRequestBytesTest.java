package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A connection to an instance must not be reused while bytes are outstanding on it: the rest of a request body, a
 * second response, or a late response.
 */
class UnwrittenRequestBytesTest {
    private static final String KEEP_ALIVE = "Keep-Alive: timeout=9\r\n";
    private static final int SMALL_BUFFER_BYTES = 4096;
    /** Exceeds the buffers of both sockets, and fits into the router's budget for bodies. */
    private static final int LONG_BODY_BYTES = 15_000_000;

    private static final int WAIT_MILLIS = 10_000;

    /** The instance responds after reading the head and reads the body only later. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "503 No\r\nX-Not-Executed: 1"})
    void earlyResponseBeforeALongBodyClosesTheConnection(String status) throws Exception {
        String body = "b".repeat(LONG_BODY_BYTES);
        try (ServerSocket listener = new ServerSocket();
                ScriptedEngine otherEngine = new ScriptedEngine((received, socket, output) ->
                        output.write(latin1(completeResponse(received, KEEP_ALIVE, "good"))));
                RouterFixture fixture = new RouterFixture(2 * LONG_BODY_BYTES, otherEngine)) {
            listener.setSoTimeout(WAIT_MILLIS);
            listener.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            fixture.planner.setAddresses("127.0.0.1:" + listener.getLocalPort());
            try (RawClient client = fixture.client()) {
                client.send(request("POST", "/once/a", "long", "", body));
                try (Socket instance = listener.accept()) {
                    instance.setSoTimeout(WAIT_MILLIS);
                    InputStream input = instance.getInputStream();
                    String head = ScriptedEngine.readHead(input);
                    instance.getOutputStream()
                            .write(latin1("HTTP/1.1 " + status + "\r\nX-Request-Id: long\r\n"
                                    + "X-Response-Signature: s\r\n" + KEEP_ALIVE + "Content-Length: 2\r\n\r\nok"));
                    fixture.planner.nextEndedAttempt();
                    fixture.planner.setAddresses(otherEngine.address());
                    byte[] remainder = input.readAllBytes();
                    assertThat(head).startsWith("POST /once/a");
                    assertThat(remainder.length).isLessThan(LONG_BODY_BYTES);
                    assertThat(new String(remainder, StandardCharsets.ISO_8859_1))
                            .matches("b*");
                }
            }
            try (RawClient client = fixture.client()) {
                assertThat(client.exchange(request("POST", "/once/a", "next", "", "x"))
                                .body())
                        .isEqualTo("good");
            }
        }
    }

    @Test
    void lateResponseDoesNotReachTheNextRequest() throws Exception {
        CountDownLatch releaseResponse = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    if (received.header("X-Request-Id").equals("silent")) {
                        releaseResponse.await(WAIT_MILLIS, TimeUnit.MILLISECONDS);
                    }
                    output.write(latin1(completeResponse(received, KEEP_ALIVE, received.header("X-Request-Id"))));
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            assertThat(client.exchange(request("POST", "/once/a", "first", "", "x"))
                            .body())
                    .isEqualTo("first");
            String requestWithShortDeadline =
                    request("POST", "/once/a", "silent", "", "x").replace("Deadline: 8000", "Deadline: 200");
            assertThat(client.exchange(requestWithShortDeadline).status()).isEqualTo(504);
            releaseResponse.countDown();
            assertThat(client.exchange(request("POST", "/once/a", "next", "", "x"))
                            .body())
                    .isEqualTo("next");
            assertThat(engine.connections()).isEqualTo(2);
        }
    }

    /** A second response to an earlier request arrives instead of the response to the next request; the ids differ. */
    @Test
    void surplusResponseIsNotForwardedToTheNextRequest() throws Exception {
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) ->
                        output.write(latin1(completeResponse(received, KEEP_ALIVE, "good"))));
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            assertThat(client.exchange(request("POST", "/idem/a", "first", "", "x"))
                            .body())
                    .isEqualTo("good");
            engine.setScript((received, socket, output) -> {
                boolean isSurplus = received.connection() == 1;
                String response = completeResponse(received, KEEP_ALIVE, "good");
                output.write(
                        latin1(isSurplus ? response.replace("X-Request-Id: second", "X-Request-Id: first") : response));
            });
            assertThat(client.exchange(request("POST", "/idem/a", "second", "", "x"))
                            .body())
                    .isEqualTo("good");
            assertThat(engine.connections()).isEqualTo(2);
            assertThat(engine.requests()).isEqualTo(3);
        }
    }

    /** Nothing is sent on a connection that the instance has closed or reset while it was idle. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void connectionClosedWhileIdleIsNotUsed(boolean reset) throws Exception {
        CountDownLatch connectionEnded = new CountDownLatch(1);
        try (ScriptedEngine engine = new ScriptedEngine((received, socket, output) -> {
                    output.write(latin1(completeResponse(received, KEEP_ALIVE, "good")));
                    output.flush();
                    if (received.header("X-Request-Id").equals("first")) {
                        if (reset) {
                            ScriptedEngine.reset(socket);
                        } else {
                            socket.shutdownOutput();
                        }
                        connectionEnded.countDown();
                    }
                });
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            RawClient.Reply first = client.tryExchange(request("POST", "/idem/a", "first", "", "x"));
            assertThat(first.status()).isIn(200, 502);
            assertThat(connectionEnded.await(WAIT_MILLIS, TimeUnit.MILLISECONDS))
                    .isTrue();
            assertThat(client.exchange(request("POST", "/once/a", "second", "", "x"))
                            .body())
                    .isEqualTo("good");
        }
    }
}
