package burlarch.engine;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.rollout.OrderMode;
import burlarch.golden.GoldenFiles;
import burlarch.golden.RawHttp;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Calls to engines and stores, and how their responses are read, as in the release before. */
@Timeout(60)
class EngineCallsGoldenTest {
    private static final long IN_TIME_NANOS = 500_000_000;
    private static final String EVENTS =
            "{\"epoch\":7,\"next_page_token\":121,\"lost\":true,\"colour\":{\"a\":[1]},\"events\":["
                    + "[118,\"+\",\"m|3\",\"5c1e07a2\",800,\"m\"],[119,\"-\",null,\"ffffffffffffffff\",0,null,5]]}";
    private static final String LIST =
            "{\"epoch\":7,\"next_page_token\":121,\"held\":[[\"m|3|t\",\"1f\",16,\"m\"],[\"m|3\",\"a0\",32,\"m\"]]}";
    private static final String REPORT = "{\"models\":[{\"name\":\"m\",\"config_version\":3,\"x\":1},{\"name\":\"n\"}],"
            + "\"busy\":true,\"sequence\":9,\"queued\":2,\"running\":3,\"kv_used\":4,\"kv_total\":5}";

    @Test
    void callsAndReadingsAreThoseOfTheReleaseBefore() throws Exception {
        assertThat(transcript()).isEqualTo(new GoldenFiles("engine-calls").lines("transcript.txt"));
    }

    /** Each call as it came at the engine, and what the response was taken for. */
    static List<String> transcript() throws Exception {
        List<String> lines = new ArrayList<>();
        HttpClient http = new HttpClient();
        http.start();
        try (ServerSocket listener = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            EngineClient client = new EngineClient(http);
            String address = "127.0.0.1:" + listener.getLocalPort();
            EngineAddress engine = new EngineAddress("i-1", address);
            EngineAddress store = new EngineAddress(null, address);
            for (WeightsOrder order : orders()) {
                lines.addAll(call(listener, 202, "", () -> client.order(engine, order)));
            }
            for (int status : new int[] {200, 400, 409, 412, 421, 500}) {
                lines.addAll(call(listener, status, "{}", () -> client.order(engine, orders().get(0))));
            }
            lines.addAll(
                    call(listener, 200, REPORT, () -> client.report(engine).thenApply(report -> report.orElse(null))));
            lines.addAll(call(listener, 200, EVENTS, () -> client.kvEvents(store, 118, 400)));
            lines.addAll(call(listener, 200, LIST, () -> client.kvList(engine)));
            return lines;
        } finally {
            http.stop();
        }
    }

    /** Makes a call and answers it; once more where a busy machine has used up the client's own time limit. */
    private static List<String> call(
            ServerSocket listener, int status, String body, Supplier<CompletableFuture<?>> call) throws Exception {
        while (true) {
            List<String> lines = new ArrayList<>();
            long start = System.nanoTime();
            CompletableFuture<?> result = call.get();
            answer(listener, status, body, lines);
            lines.add("= " + values(result.get(10, TimeUnit.SECONDS)));
            if (System.nanoTime() - start < IN_TIME_NANOS) {
                return lines;
            }
        }
    }

    private static List<WeightsOrder> orders() {
        List<WeightsOrder> orders = new ArrayList<>();
        for (OrderMode mode : OrderMode.values()) {
            orders.add(new WeightsOrder("m", 3, mode, "controller-1", 12, WeightsOrder.ANY_REVISION));
        }
        orders.add(new WeightsOrder("m", 3, OrderMode.values()[0], "controller-1", 12, 5));
        return orders;
    }

    /** Takes one request, on a connection that ends with its response. */
    private static void answer(ServerSocket listener, int status, String body, List<String> lines) throws IOException {
        try (Socket socket = listener.accept()) {
            for (String line : RawHttp.lines(RawHttp.readMessage(socket.getInputStream()))) {
                lines.add(line.replaceAll("127\\.0\\.0\\.1:[0-9]+", "ENGINE").replaceAll("Jetty/.*", "Jetty"));
            }
            String response = "HTTP/1.1 " + status + " Said\r\nConnection: close\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body;
            socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }
    }

    /** The values in the order of the components, enums by number, so that no name of the code stands in the file. */
    private static String values(Object value) throws ReflectiveOperationException {
        if (value instanceof List<?> list) {
            List<String> texts = new ArrayList<>();
            for (Object each : list) {
                texts.add(values(each));
            }
            return texts.toString();
        }
        if (value instanceof Enum<?> constant) {
            return "#" + constant.ordinal();
        }
        if (!(value instanceof Record)) {
            return String.valueOf(value);
        }
        List<String> texts = new ArrayList<>();
        for (var component : value.getClass().getRecordComponents()) {
            component.getAccessor().setAccessible(true);
            texts.add(values(component.getAccessor().invoke(value)));
        }
        return "(" + String.join(" ", texts) + ")";
    }
}
