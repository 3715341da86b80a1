package burlarch.node.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Bounds of the connections of one connector, with limits that a few clients reach. */
@Timeout(60)
class BoundedHttpConnectionTest {
    private static final int MAX_CONNECTIONS = 4;
    private static final long MAX_HEAD_BYTES = 100_000;
    private static final long HEAD_TIMEOUT_MILLIS = 1_000;
    private static final int TIMEOUT_MILLIS = 30_000;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n";
    private static final String HEAVY_HEAD = REQUEST + "a:\r\n".repeat(3_000);

    private final AtomicInteger handled = new AtomicInteger();
    private final ConnectionBounds bounds =
            new ConnectionBounds(MAX_HEAD_BYTES, MAX_HEAD_BYTES / 2, HEAD_TIMEOUT_MILLIS);
    private final Server server = new Server();
    private ServerConnector connector;

    @BeforeEach
    void start() throws Exception {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setRequestHeaderSize(16_384);
        connector = new ServerConnector(
                server, null, null, null, 0, 1, new BoundedHttpConnectionFactory(configuration, bounds));
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                handled.incrementAndGet();
                response.write(true, BufferUtil.EMPTY_BUFFER, callback);
                return true;
            }
        });
        ConnectionCountLimit.apply(MAX_CONNECTIONS, connector);
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    @Test
    void headWithoutRoomIsRejectedBeforeItIsHandledAndReleased() throws Exception {
        assertThat(responseTo(HEAVY_HEAD + "\r\n")).startsWith("HTTP/1.1 503 ");
        assertThat(responseTo(HEAVY_HEAD)).startsWith("HTTP/1.1 503 ");
        assertThat(handled).hasValue(0);
        assertThat(responseTo(REQUEST + "Connection: close\r\n\r\n")).startsWith("HTTP/1.1 200 ");
        awaitAllReleased();
    }

    @Test
    void headThatIsNotCompleteInTimeClosesItsConnection() throws Exception {
        assertThat(responseTo(REQUEST)).isEmpty();
        awaitAllReleased();
    }

    /** Connections beyond the limit are closed, and later the longest idle one makes room for an ordinary client. */
    @Test
    void silentConnectionsAreLimitedAndMakeRoom() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 5 * MAX_CONNECTIONS; i++) {
                silent.add(connect());
            }
            String response = "";
            while (!response.startsWith("HTTP/1.1 200 ")) {
                assertThat(connector.getConnectedEndPoints()).hasSizeLessThanOrEqualTo(MAX_CONNECTIONS);
                response = responseTo(REQUEST + "Connection: close\r\n\r\n");
            }
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    private void awaitAllReleased() throws InterruptedException {
        while (bounds.headBudget().reservedBytes() != 0) {
            Thread.sleep(1);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), connector.getLocalPort());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Returns what is received until the server closes the connection; empty if the connection fails. */
    private String responseTo(String text) {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException reset) {
            return "";
        }
    }
}
