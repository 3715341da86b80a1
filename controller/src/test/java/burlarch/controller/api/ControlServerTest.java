package burlarch.controller.api;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the HTTP server of the control API over loopback, with a fake service. */
@Timeout(30)
class ControlServerTest {
    private static final String HEARTBEAT =
            """
            {"service":"blue","address":"10.0.0.9:8080","zone":"north","config_version":"v1","capacity":12,
            "state":"ready","warmup_left_ms":40,"stage":"hybrid","later":{"field":[1]},
            "models":[{"name":"m","config_version":3,"adapters":[]}],"sequence":4}""";
    private static final long LONG_TIMEOUT_MILLIS = 20_000;
    private static final long SHORT_TIMEOUT_MILLIS = 50;

    private final FakeControlService service = new FakeControlService();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private ControlServer server;

    @BeforeEach
    void start() throws Exception {
        startWith(LONG_TIMEOUT_MILLIS);
    }

    private void startWith(long callTimeoutMillis) throws Exception {
        if (server != null) {
            server.stop();
        }
        server = new ControlServer(new InetSocketAddress("127.0.0.1", 0), service, callTimeoutMillis);
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    private HttpRequest.Builder request(String method, String path, String body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                .method(method, body == null ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
        return client.send(request.build(), BodyHandlers.ofString());
    }

    private HttpResponse<String> send(String method, String path, String body)
            throws IOException, InterruptedException {
        return send(request(method, path, body));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "PUT|/burlarch/config|{}|200|put 2 on 0",
                "PATCH|/burlarch/config|{ }|200|patch 3 on 0",
                "GET|/burlarch/config||200|read",
                "POST|/burlarch/version-put|{\"model\":\"m\",\"config_version\":2}|200|weights m 2",
                "DELETE|/burlarch/instances/i-1||200|leave i-1",
                "POST|/burlarch/config|{}|405|",
                "GET|/burlarch/version-put||405|",
                "GET|/burlarch/instances/i-1||405|",
                "GET|/burlarch/other||404|",
                "GET|/||404|",
                "DELETE|/burlarch/instances/||404|",
                "DELETE|/burlarch/instances/a/b||404|",
                "POST|/burlarch/version-put|{\"model\":\"m\"}|400|",
                "POST|/burlarch/version-put|{\"model\":\"m\",\"config_version\":1.5}|400|",
                "POST|/burlarch/version-put|{\"config_version\":1}|400|",
                "POST|/burlarch/version-put|[]|400|",
                "POST|/burlarch/version-put|{|400|",
                "POST|/burlarch/version-put||400|",
            })
    void callsAreMappedToServiceAndStatus(String method, String path, String body, int status, String call)
            throws Exception {
        HttpResponse<String> response = send(method, path, body);
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue("Content-Type")).hasValue("application/json");
        assertThat(service.calls).isEqualTo(call == null ? List.of() : List.of(call));
    }

    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void failureIsReportedWithStatusAndCodeOfItsKind(ErrorKind kind) throws Exception {
        service.result = CompletableFuture.failedFuture(new ControlException(kind, "routes[0].name", "must be there"));
        HttpResponse<String> response = send("PUT", "/burlarch/config", "{}");
        assertThat(response.statusCode()).isEqualTo(kind.status());
        assertThat(response.headers().firstValue("Retry-After").isPresent()).isEqualTo(kind.status() == 503);
        JsonNode error = new ObjectMapper().readTree(response.body());
        assertThat(error.path("error").asText()).isEqualTo(kind.name());
        assertThat(error.at("/problems/0/field").asText()).isEqualTo("routes[0].name");
        assertThat(error.at("/problems/0/reason").asText()).isEqualTo("must be there");
    }

    @Test
    void unexpectedFailureIsReportedAsUnavailable() throws Exception {
        service.result = CompletableFuture.failedFuture(new IllegalStateException("for this test"));
        assertThat(send("PUT", "/burlarch/config", "{}").statusCode()).isEqualTo(503);
    }

    @Test
    void largeConfigurationIsReturnedCompletely() throws Exception {
        byte[] large = "x".repeat(3_000_000).getBytes(StandardCharsets.UTF_8);
        service.configuration = CompletableFuture.completedFuture(large);
        assertThat(send("GET", "/burlarch/config", null).body()).hasSize(large.length);
    }

    @ParameterizedTest
    @CsvSource({"5, 200, put 2 on 5", "'\"5\"', 200, put 2 on 5", "five, 400, ", "'*', 400, "})
    void ifMatchHeaderSetsBaseVersion(String ifMatch, int status, String call) throws Exception {
        HttpResponse<String> response =
                send(request("PUT", "/burlarch/config", "{}").header("If-Match", ifMatch));
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(service.calls).isEqualTo(call == null ? List.of() : List.of(call));
    }

    @Test
    void announcementIsParsed() throws Exception {
        HttpResponse<String> response = send("PUT", "/burlarch/instances/i-1", HEARTBEAT);
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("{}");
        assertThat(service.announced)
                .containsExactly(new Instance(
                        "i-1",
                        "blue",
                        "10.0.0.9:8080",
                        "north",
                        "v1",
                        12,
                        InstanceState.READY,
                        40,
                        List.of(new Instance.ServedModel("m", 3)),
                        4));
    }

    @Test
    void optionalFieldsOfAnAnnouncementMayBeAbsent() throws Exception {
        String minimalAnnouncement =
                """
                {"service":"blue","address":"10.0.0.9:80","state":"draining","sequence":1}""";
        assertThat(send("PUT", "/burlarch/instances/i-1", minimalAnnouncement).statusCode())
                .isEqualTo(200);
        assertThat(service.announced)
                .containsExactly(
                        new Instance("i-1", "blue", "10.0.0.9:80", "", "", 0, InstanceState.DRAINING, 0, List.of(), 1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "\"ready\"|\"gone\"",
                "\"ready\"|\"READY\"",
                "\"ready\"|3",
                "\"state\"|\"other\"",
                "\"sequence\":4|\"sequence\":-1",
                "\"sequence\":4|\"sequence\":9223372036854775807",
                "\"sequence\":4|\"sequence\":\"x\"",
                "10.0.0.9:8080|10.0.0.9",
                "\"service\"|\"other\"",
                "\"name\":\"m\"|\"other\":1",
                "{\"service\"|\"service\"",
            })
    void invalidAnnouncementIsRejected(String part, String other) throws Exception {
        HttpResponse<String> response = send("PUT", "/burlarch/instances/i-1", HEARTBEAT.replace(part, other));
        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(service.calls).isEmpty();
    }

    @Test
    void callBeyondTimeoutIsReportedAsUnavailableAndCancelled() throws Exception {
        startWith(SHORT_TIMEOUT_MILLIS);
        service.result = new CompletableFuture<>();
        service.configuration = new CompletableFuture<>();
        for (String[] call : new String[][] {
            {"PUT", "/burlarch/config", "{}"},
            {"GET", "/burlarch/config", null},
            {"DELETE", "/burlarch/instances/i-1", null},
            {"PUT", "/burlarch/instances/i-1", HEARTBEAT}
        }) {
            HttpResponse<String> response = send(call[0], call[1], call[2]);
            assertThat(response.statusCode()).isEqualTo(503);
            assertThat(response.headers().firstValue("Retry-After")).isPresent();
        }
        assertThatThrownBy(() -> service.result.get(5, TimeUnit.SECONDS)).isInstanceOf(CancellationException.class);
    }

    @Test
    void resultThatCompletesLaterIsReturned() throws Exception {
        service.result = new CompletableFuture<>();
        CompletableFuture<HttpResponse<String>> response =
                client.sendAsync(request("PUT", "/burlarch/config", "{}").build(), BodyHandlers.ofString());
        awaitCondition(() -> !service.calls.isEmpty());
        assertThat(response).isNotDone();
        service.result.complete(null);
        assertThat(response.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
    }

    @Test
    void bodyUpToLimitIsAccepted() throws Exception {
        String longestBody = " ".repeat(RequestBodyLimits.MAX_CONFIGURATION_BYTES);
        assertThat(send("PUT", "/burlarch/config", longestBody).statusCode()).isEqualTo(200);
        assertThat(service.calls).containsExactly("put " + longestBody.length() + " on 0");
    }

    @ParameterizedTest
    @CsvSource({"/burlarch/config, 8388609", "/burlarch/instances/i-1, 65537"})
    void bodyBeyondLimitIsRejected(String path, int length) throws Exception {
        String head = "PUT " + path + " HTTP/1.1\r\nHost: h\r\n";
        try (Peer declared = new Peer()) {
            declared.send(head + "Content-Length: " + length + "\r\n\r\n");
            assertThat(declared.status()).isEqualTo(413);
        }
        try (Peer chunked = new Peer()) {
            chunked.send(head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(length) + "\r\n");
            chunked.send(" ".repeat(length) + "\r\n");
            assertThat(chunked.status()).isEqualTo(413);
        }
        assertThat(service.calls).isEmpty();
    }

    @Test
    void chunkedBodyIsAccepted() throws Exception {
        try (Peer chunked = new Peer()) {
            chunked.send("PUT /burlarch/config HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
            chunked.send("1\r\n{\r\n");
            chunked.send("1\r\n}\r\n0\r\n\r\n");
            assertThat(chunked.status()).isEqualTo(200);
        }
        assertThat(service.calls).containsExactly("put 2 on 0");
    }

    @Test
    void totalSizeOfAllBodiesIsBounded() throws Exception {
        CompletableFuture<Void> pendingResult = new CompletableFuture<>();
        service.result = pendingResult;
        String largeBody = " ".repeat(RequestBodyLimits.MAX_CONFIGURATION_BYTES);
        List<CompletableFuture<HttpResponse<String>>> pendingCalls = List.of(
                client.sendAsync(request("PUT", "/burlarch/config", largeBody).build(), BodyHandlers.ofString()),
                client.sendAsync(request("PUT", "/burlarch/config", largeBody).build(), BodyHandlers.ofString()));
        awaitCondition(() -> service.calls.size() == pendingCalls.size());
        assertThat(send("PUT", "/burlarch/config", "{}").statusCode()).isEqualTo(503);
        pendingResult.complete(null);
        for (CompletableFuture<HttpResponse<String>> response : pendingCalls) {
            assertThat(response.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        }
        assertThat(send("PUT", "/burlarch/config", "{}").statusCode()).isEqualTo(200);
    }

    @Test
    void incompleteBodyIsNotPassedToService() throws Exception {
        try (Peer broken = new Peer()) {
            broken.send("PUT /burlarch/config HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{");
        }
        assertThat(send("PUT", "/burlarch/instances/i-1", HEARTBEAT).statusCode())
                .isEqualTo(200);
        assertThat(service.calls).containsExactly("announce i-1");
    }

    /**
     * An incomplete call may be valid, and its sender may retry it. A final rejection would be wrong if the retry is
     * accepted.
     */
    @ParameterizedTest
    @CsvSource({"'Content-Length: 9\r\n\r\n{'", "'Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n'"})
    void incompleteBodyIsReportedAsRetryable(String headersAndBody) throws Exception {
        try (Peer broken = new Peer()) {
            broken.send("PUT /burlarch/config HTTP/1.1\r\nHost: h\r\n" + unescaped(headersAndBody));
            broken.closeOutput();
            assertThat(broken.status()).isEqualTo(503);
            assertThat(broken.head()).contains("Retry-After").contains("Connection: close");
            assertThat(broken.isClosedByServer()).isTrue();
        }
        assertThat(service.calls).isEmpty();
    }

    private static String unescaped(String text) {
        return text.replace("\\r", "\r").replace("\\n", "\n");
    }

    @Test
    void malformedChunkedBodyIsNotPassedToService() throws Exception {
        try (Peer wrong = new Peer()) {
            wrong.send("PUT /burlarch/config HTTP/1.1\r\nHost: h\r\n");
            wrong.send("Transfer-Encoding: chunked\r\n\r\nx\r\n{}\r\n");
            assertThat(wrong.status()).isGreaterThanOrEqualTo(400);
            assertThat(wrong.isClosedByServer()).isTrue();
        }
        assertThat(service.calls).isEmpty();
    }

    /** A caller that disconnects must not affect its pending call or the next one. */
    @Test
    void disconnectingCallerDoesNotAffectCalls() throws Exception {
        CompletableFuture<Void> pendingResult = new CompletableFuture<>();
        service.result = pendingResult;
        try (Peer leaving = new Peer()) {
            leaving.send("PUT /burlarch/config HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}");
            awaitCondition(() -> !service.calls.isEmpty());
        }
        assertThat(pendingResult).isNotDone();
        pendingResult.complete(null);
        assertThat(send("PUT", "/burlarch/config", "{}").statusCode()).isEqualTo(200);
        assertThat(service.calls).containsExactly("put 2 on 0", "put 2 on 0");
    }

    @Test
    void concurrentCopiesOfOneCallAreEachAnswered() throws Exception {
        CompletableFuture<Void> pendingResult = new CompletableFuture<>();
        service.result = pendingResult;
        List<CompletableFuture<HttpResponse<String>>> copies = List.of(
                client.sendAsync(request("PUT", "/burlarch/config", "{}").build(), BodyHandlers.ofString()),
                client.sendAsync(request("PUT", "/burlarch/config", "{}").build(), BodyHandlers.ofString()));
        awaitCondition(() -> service.calls.size() == copies.size());
        pendingResult.complete(null);
        for (CompletableFuture<HttpResponse<String>> copy : copies) {
            assertThat(copy.get(5, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        }
    }

    @Test
    void connectionServesSuccessiveCalls() throws Exception {
        try (Peer peer = new Peer()) {
            for (int i = 0; i < 3; i++) {
                peer.send("DELETE /burlarch/instances/i-" + i + " HTTP/1.1\r\nHost: h\r\n\r\n");
                assertThat(peer.status()).isEqualTo(200);
            }
        }
        assertThat(service.calls).containsExactly("leave i-0", "leave i-1", "leave i-2");
    }

    @Test
    void whileDrainingOpenConnectionsCloseAfterTheirNextResponse() throws Exception {
        String call = "DELETE /burlarch/instances/i-1 HTTP/1.1\r\nHost: h\r\n\r\n";
        try (Peer peer = new Peer()) {
            peer.send(call);
            assertThat(peer.status()).isEqualTo(200);
            int port = server.port();
            server.stopAccepting();
            awaitCondition(() -> refuses(port));
            peer.send(call);
            assertThat(peer.status()).isEqualTo(200);
            assertThat(peer.head()).contains("Connection: close");
            assertThat(peer.isClosedByServer()).isTrue();
        }
    }

    /** Guards against a process that ends before the calls that it has read are answered. */
    @Test
    void shutdownWaitsForTheResponseToAPendingCall() throws Exception {
        service.result = new CompletableFuture<>();
        try (Peer peer = new Peer()) {
            peer.send("DELETE /burlarch/instances/i-1 HTTP/1.1\r\nHost: h\r\n\r\n");
            awaitCondition(() -> service.calls.contains("leave i-1"));
            server.stopAccepting();
            CompletableFuture<Void> ended = CompletableFuture.runAsync(server::endCalls);
            assertThatThrownBy(() -> ended.get(100, TimeUnit.MILLISECONDS)).isInstanceOf(TimeoutException.class);
            service.result.complete(null);
            ended.get(10, TimeUnit.SECONDS);
            server.closeConnections();
            assertThat(peer.status()).isEqualTo(200);
        }
    }

    /** Guards against a change that is begun and not answered, as the process ends. */
    @Test
    void callAfterTheEndOfTheCallsIsRejected() throws Exception {
        try (Peer peer = new Peer()) {
            peer.send("DELETE /burlarch/instances/i-1 HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(peer.status()).isEqualTo(200);
            server.endCalls();
            peer.send("DELETE /burlarch/instances/i-2 HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(peer.status()).isEqualTo(503);
            assertThat(peer.head()).contains("Retry-After").contains("Connection: close");
            assertThat(service.calls).containsExactly("leave i-1");
        }
    }

    private static void awaitCondition(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() - end)
                    .as("condition not met within 10 s")
                    .isNegative();
            Thread.onSpinWait();
        }
    }

    /** A connection that was accepted while the listener closed is reset; that does not count as refused. */
    private static boolean refuses(int port) {
        try (Socket connected = new Socket()) {
            connected.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            return false;
        } catch (ConnectException refused) {
            return true;
        } catch (SocketException reset) {
            return false;
        } catch (IOException other) {
            throw new UncheckedIOException(other);
        }
    }

    /** Raw HTTP client that sends exactly the given bytes. */
    private final class Peer implements AutoCloseable {
        private final Socket socket = new Socket("127.0.0.1", server.port());
        private final OutputStream output = socket.getOutputStream();
        private final InputStream input = socket.getInputStream();
        private String head = "";

        Peer() throws IOException {
            socket.setSoTimeout(10_000);
        }

        void send(String text) {
            try {
                output.write(text.getBytes(StandardCharsets.US_ASCII));
                output.flush();
            } catch (IOException refused) {
                // The server may respond and close the connection before everything is sent.
            }
        }

        /** Closes the sending direction; responses can still be read. */
        void closeOutput() throws IOException {
            socket.shutdownOutput();
        }

        /** Reads one complete response and returns its status. */
        int status() throws IOException {
            StringBuilder text = new StringBuilder();
            while (text.indexOf("\r\n\r\n") < 0) {
                int next = input.read();
                assertThat(next).as("after %s", text).isNotNegative();
                text.append((char) next);
            }
            head = text.toString();
            String length = head.replaceAll("(?s).*Content-Length: (\\d+).*", "$1");
            input.readNBytes(Integer.parseInt(length));
            return Integer.parseInt(head.split(" ")[1]);
        }

        String head() {
            return head;
        }

        boolean isClosedByServer() throws IOException {
            return input.read() < 0;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
