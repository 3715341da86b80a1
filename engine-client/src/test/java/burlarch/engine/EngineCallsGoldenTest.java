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

/**
 * Guards against changes of the control calls to engines and KV stores, and of how their responses are interpreted.
 * Both must equal the golden transcript of the previous release.
 */
@Timeout(60)
class EngineCallsGoldenTest {
    private static final long MAX_CALL_NANOS = 500_000_000;
    private static final String EVENTS =
            "{\"epoch\":7,\"next_page_token\":121,\"lost\":true,\"colour\":{\"a\":[1]},\"events\":["
                    + "[118,\"+\",\"m|3\",\"5c1e07a2\",800,\"m\"],[119,\"-\",null,\"ffffffffffffffff\",0,null,5]]}";
    private static final String SNAPSHOT =
            "{\"epoch\":7,\"next_page_token\":121,\"held\":[[\"m|3|t\",\"1f\",16,\"m\"],[\"m|3\",\"a0\",32,\"m\"]]}";
    private static final String REPORT = "{\"models\":[{\"name\":\"m\",\"config_version\":3,\"x\":1},{\"name\":\"n\"}],"
            + "\"busy\":true,\"sequence\":9,\"queued\":2,\"running\":3,\"kv_used\":4,\"kv_total\":5}";

    @Test
    void callsAndInterpretedResponsesEqualThoseOfPreviousRelease() throws Exception {
        assertThat(transcript()).isEqualTo(new GoldenFiles("engine-calls").lines("transcript.txt"));
    }

    /** Returns each call as the engine received it, and the value that the client made of the response. */
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
            lines.addAll(call(listener, 200, SNAPSHOT, () -> client.kvList(engine)));
            return lines;
        } finally {
            http.stop();
        }
    }

    /** Makes a call and responds to it; repeats both if a slow machine came close to the timeout of the client. */
    private static List<String> call(
            ServerSocket listener, int status, String body, Supplier<CompletableFuture<?>> call) throws Exception {
        while (true) {
            List<String> lines = new ArrayList<>();
            long start = System.nanoTime();
            CompletableFuture<?> result = call.get();
            respond(listener, status, body, lines);
            lines.add("= " + format(result.get(10, TimeUnit.SECONDS)));
            if (System.nanoTime() - start < MAX_CALL_NANOS) {
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

    /** Accepts one connection, records its request, sends the response and closes the connection. */
    private static void respond(ServerSocket listener, int status, String body, List<String> lines) throws IOException {
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

    /** Formats values in the order of record components and enums by ordinal, so that names do not matter. */
    private static String format(Object value) throws ReflectiveOperationException {
        if (value instanceof List<?> list) {
            List<String> formatted = new ArrayList<>();
            for (Object element : list) {
                formatted.add(format(element));
            }
            return formatted.toString();
        }
        if (value instanceof Enum<?> enumValue) {
            return "#" + enumValue.ordinal();
        }
        if (!(value instanceof Record)) {
            return String.valueOf(value);
        }
        List<String> formatted = new ArrayList<>();
        for (var component : value.getClass().getRecordComponents()) {
            component.getAccessor().setAccessible(true);
            formatted.add(format(component.getAccessor().invoke(value)));
        }
        return "(" + String.join(" ", formatted) + ")";
    }
}
