package burlarch.engine;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderMode;
import burlarch.coordination.rollout.OrderResult;
import burlarch.golden.RawHttp;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * An engine that sends the response to a call once more when the next call of the connection arrives. Guards against a
 * surplus report that is taken for the response to an order: the order counts as one for weights that are loaded
 * already, although the engine has just accepted it.
 */
@Timeout(20)
class SurplusControlResponseTest {
    private static final String REPORT = "{\"models\":[{\"name\":\"m\",\"config_version\":1}],\"sequence\":0}";

    private final HttpClient http = new HttpClient();
    private ServerSocket listener;

    @BeforeEach
    void start() throws Exception {
        http.start();
        listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        startThread(this::acceptConnections);
    }

    @AfterEach
    void stop() throws Exception {
        listener.close();
        http.stop();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "surplus-engine");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = listener.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            OutputStream output = socket.getOutputStream();
            String previousResponse = "";
            while (true) {
                String request = RawHttp.readMessage(socket.getInputStream());
                if (request.isEmpty()) {
                    return;
                }
                String response = request.startsWith("GET") ? response("200 OK", REPORT) : response("202 Accepted", "");
                output.write((previousResponse + response).getBytes(StandardCharsets.ISO_8859_1));
                output.flush();
                previousResponse = response;
            }
        } catch (IOException closed) {
            // The client has closed the connection.
        }
    }

    private static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Test
    void surplusReportIsNotTakenForTheResponseToAnOrder() throws Exception {
        EngineClient client = new EngineClient(http);
        EngineAddress engine = new EngineAddress("i-1", "127.0.0.1:" + listener.getLocalPort());

        Optional<EngineReport> report = client.report(engine).get(5, TimeUnit.SECONDS);
        OrderResult result = client.order(engine, new WeightsOrder("m", 2, OrderMode.QUEUE, "core-1", 41, 0))
                .get(5, TimeUnit.SECONDS);

        assertThat(report).isPresent();
        assertThat(result).isEqualTo(OrderResult.ACCEPTED);
    }
}
