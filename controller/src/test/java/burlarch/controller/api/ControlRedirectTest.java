package burlarch.controller.api;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the redirecting server over loopback. */
@Timeout(30)
class ControlRedirectTest {
    private volatile Optional<String> target = Optional.of("10.0.0.7:9100");
    private final ControlServer server = ControlServer.redirecting(new InetSocketAddress("127.0.0.1", 0), () -> target);
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.NEVER)
            .build();

    @BeforeEach
    void start() throws Exception {
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    private HttpResponse<String> send(String method, String path, String body) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                        .method(method, body == null ? BodyPublishers.noBody() : BodyPublishers.ofString(body))
                        .build(),
                BodyHandlers.ofString());
    }

    @ParameterizedTest
    @CsvSource({
        "PUT, /burlarch/config, {}",
        "GET, /burlarch/config,",
        "PUT, /burlarch/instances/i-1?late=1, {}",
        "DELETE, /burlarch/instances/i-1,",
        "POST, /burlarch/version-put, {}",
    })
    void eachCallIsRedirectedToSamePath(String method, String path, String body) throws Exception {
        HttpResponse<String> response = send(method, path, body);
        assertThat(response.statusCode()).isEqualTo(307);
        assertThat(response.headers().firstValue("Location")).hasValue("http://10.0.0.7:9100" + path);
    }

    @Test
    void callWithoutKnownControllerIsReportedAsRetryable() throws Exception {
        target = Optional.empty();
        HttpResponse<String> response = send("GET", "/burlarch/config", null);
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }

    /**
     * If the server responded before the last byte of the body, the connection would be reset and the caller might not
     * read the response.
     */
    @Test
    void longBodyIsReadBeforeResponse() throws Exception {
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            int length = 3_000_000;
            byte[] head = ("PUT /burlarch/config HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + length
                            + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            caller.getOutputStream().write(head);
            caller.getOutputStream().write(new byte[length - 1]);
            caller.setSoTimeout(200);
            assertThat(readTimesOut(caller)).isTrue();
            caller.setSoTimeout(10_000);
            caller.getOutputStream().write(1);
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            caller.getInputStream().transferTo(response);
            assertThat(response.toString(StandardCharsets.ISO_8859_1)).startsWith("HTTP/1.1 307");
        }
    }

    private static boolean readTimesOut(Socket caller) throws Exception {
        try {
            caller.getInputStream().read();
            return false;
        } catch (SocketTimeoutException timeout) {
            return true;
        }
    }

    @ParameterizedTest
    @CsvSource({"'Content-Length: 8388609\r\n\r\n', 413", "'Content-Length: 9\r\n\r\n{', 503"})
    void oversizedAndIncompleteBodiesAreNotRedirected(String headersAndBody, int status) throws Exception {
        try (Socket caller = new Socket("127.0.0.1", server.port())) {
            caller.setSoTimeout(10_000);
            caller.getOutputStream()
                    .write(("PUT /burlarch/config HTTP/1.1\r\nHost: h\r\n" + headersAndBody)
                            .getBytes(StandardCharsets.ISO_8859_1));
            caller.shutdownOutput();
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            caller.getInputStream().transferTo(response);
            assertThat(response.toString(StandardCharsets.ISO_8859_1)).startsWith("HTTP/1.1 " + status);
        }
    }
}
