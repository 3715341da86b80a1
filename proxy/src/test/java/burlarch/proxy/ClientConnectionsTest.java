package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Many, silent, slow or pipelining client connections, which must not harm other clients. */
@Timeout(60)
class ClientConnectionsTest {
    private static Socket connect(Fixture f) throws IOException {
        return new Socket(f.address.getAddress(), f.address.getPort());
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Test
    void silentAndPartialRequestsAreAnswered408AfterReadTimeout() throws Exception {
        String putWithBody = BadInputTest.request("PUT", "/order/k", "", "Content-Length: 10");
        try (Fixture f = new Fixture()) {
            for (String partialRequest :
                    List.of("", "GET /look/k HT", "GET /look/k HTTP/1.1\r\nX-Request", putWithBody + "half")) {
                long startNanos = System.nanoTime();
                assertTrue(f.raw(partialRequest).startsWith("HTTP/1.1 408 "), partialRequest);
                assertTrue(
                        System.nanoTime() - startNanos >= ClientConnection.REQUEST_READ_TIMEOUT_NANOS,
                        "closed before the read timeout");
            }
            assertTrue(f.cache.hasNoRequests() && f.origin.hasNoRequests());
        }
    }

    /**
     * The read timeout counts from when a partial request began to arrive, so a client that sends it byte by byte
     * times out like one that stops. Here the partial request follows a complete one.
     */
    @Test
    void partialSecondRequestIsAnswered408() throws Exception {
        try (Fixture f = new Fixture();
                Socket socket = connect(f)) {
            f.cache.answerWith("200 OK", "v");
            write(socket, BadInputTest.request("GET", "/look/k", "") + "GET /look/l HT");
            String answers = readAll(socket);
            assertTrue(answers.startsWith("HTTP/1.1 200 OK"), answers);
            assertTrue(answers.contains("vHTTP/1.1 408 "), answers);
        }
    }

    /** Guards against running out of file descriptors: the program once ended on a failed accept. */
    @Test
    void silentConnectionsAreClosedToMakeRoomForClients() throws Exception {
        List<Socket> silentClients = new ArrayList<>();
        try (Fixture f = new Fixture()) {
            f.cache.answerWith("200 OK", "v");
            for (int i = 0; i < 2 * Fixture.SOCKETS; i++) {
                silentClients.add(connect(f));
            }
            assertEquals("v", f.read("k").get().body());
            assertEquals(
                    -1, silentClients.get(0).getInputStream().read(), "the oldest connection was closed to make room");
        } finally {
            for (Socket socket : silentClients) {
                socket.close();
            }
        }
    }

    /** Every connection has an open request, so a further connection is closed and the open requests are answered. */
    @Test
    void connectionAboveLimitIsClosedAndNoRequestIsLost() throws Exception {
        // Few enough for all connections to fit one iteration of the event loop.
        int sockets = 64;
        int maxClients = SocketShares.of(sockets).clients();
        int maxNodeConnections = SocketShares.of(sockets).nodes();
        List<Socket> clients = new ArrayList<>();
        try (Fixture f = new Fixture(List.of(), sockets)) {
            for (int i = 0; i < maxClients; i++) {
                clients.add(connect(f));
                write(clients.get(i), BadInputTest.request("GET", "/look/k" + i, "", "Connection: close"));
            }
            List<FakeServer.Received> forwarded = new ArrayList<>();
            for (int i = 0; i < maxNodeConnections; i++) {
                forwarded.add(f.cache.next());
            }
            try (Socket excessClient = connect(f)) {
                assertEquals(-1, excessClient.getInputStream().read());
            }
            f.cache.answerWith("200 OK", "v");
            for (FakeServer.Received request : forwarded) {
                request.answer("200 OK", "v");
            }
            for (Socket client : clients) {
                String answer = readAll(client);
                assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
            }
            assertEquals(
                    maxNodeConnections, f.cache.connections.get(), "connections to the node are within their limit");
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    /** A node would treat a second request with the id of an open one as a repeated attempt. */
    @Test
    void duplicateIdOfOpenRequestIsAnswered409AndFirstIsServed() throws Exception {
        try (Fixture f = new Fixture()) {
            CompletableFuture<HttpResponse<String>> first = f.send("GET", "/look/k", "", "X-Request-ID", "twice");
            FakeServer.Received forwarded = f.cache.next();
            assertEquals(
                    409,
                    f.send("PUT", "/order/k", "", "X-Request-ID", "twice").get().statusCode());
            assertTrue(f.origin.hasNoRequests());
            forwarded.answer("200 OK", "v");
            assertEquals("v", first.get().body());
            // Also shortly after the response: the node would treat it as a late attempt of the first request.
            assertEquals(
                    409,
                    f.send("GET", "/look/l", "", "X-Request-ID", "twice").get().statusCode());
            assertTrue(f.cache.hasNoRequests());
        }
    }

    /** A response sent out of order would be taken for the response to an earlier request. */
    @Test
    void rejectionIsSentAfterResponseToEarlierRequest() throws Exception {
        try (Fixture f = new Fixture();
                Socket socket = connect(f)) {
            write(
                    socket,
                    BadInputTest.request("GET", "/look/k", "")
                            + "PUT /order/k HTTP/1.1\r\nHost: x\r\nContent-Length: 1048577\r\n\r\n");
            f.cache.next().answer("200 OK", "v");
            String answers = readAll(socket);
            assertTrue(answers.startsWith("HTTP/1.1 200 OK") && answers.contains("vHTTP/1.1 413 "), answers);
        }
    }

    @Test
    void allRequestsOfLongPipelineAreAnswered() throws Exception {
        try (Fixture f = new Fixture();
                Socket socket = connect(f)) {
            f.cache.answerWith("200 OK", "v");
            StringBuilder pipeline = new StringBuilder();
            for (int i = 0; i < 40; i++) {
                pipeline.append(BadInputTest.request("GET", "/look/row" + i, ""));
            }
            write(socket, pipeline + BadInputTest.request("GET", "/look/end", "", "Connection: close"));
            assertEquals(42, readAll(socket).split("HTTP/1.1 200 OK").length);
        }
    }

    /** The client has been waiting since the proxy read the request, not since the request before it was answered. */
    @Test
    void timeoutOfPipelinedRequestCountsFromWhenItWasRead() throws Exception {
        try (Fixture f = new Fixture();
                Socket socket = connect(f)) {
            write(
                    socket,
                    BadInputTest.request("GET", "/look/k", "")
                            + BadInputTest.request("GET", "/look/l", "", "X-Timeout-Ms: 100", "Connection: close"));
            FakeServer.Received forwarded = f.cache.next();
            // Sleeping longer than this does not affect the result.
            Thread.sleep(150);
            f.cache.answerWith("200 OK", "late");
            forwarded.answer("200 OK", "v");
            String answers = readAll(socket);
            assertTrue(answers.startsWith("HTTP/1.1 200 OK"), answers);
            assertTrue(answers.contains("vHTTP/1.1 429 "), answers);
        }
    }
}
