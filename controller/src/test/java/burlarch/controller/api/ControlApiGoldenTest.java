package burlarch.controller.api;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.coordination.registry.Instance;
import burlarch.golden.GoldenFiles;
import burlarch.golden.RawHttp;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Compares the paths, methods, headers, bodies and statuses of the control API with those of the previous release. */
@Timeout(60)
class ControlApiGoldenTest {
    private static final long CALL_TIMEOUT_MILLIS = 20_000;
    private static final String HEARTBEAT =
            "{\"service\":\"blue\",\"address\":\"10.0.0.9:8080\",\"zone\":\"north\",\"config_version\":\"v1\","
                    + "\"capacity\":12,\"state\":\"ready\",\"warmup_left_ms\":40,"
                    + "\"models\":[{\"name\":\"m\",\"config_version\":3}],\"sequence\":4}";

    @Test
    void transcriptEqualsThatOfPreviousRelease() throws Exception {
        assertThat(transcript()).isEqualTo(new GoldenFiles("control-api").lines("transcript.txt"));
    }

    /** Returns each call with the resulting call of the service and the complete response, except its date. */
    static List<String> transcript() throws Exception {
        FakeControlService service = new FakeControlService();
        ControlServer server = new ControlServer(new InetSocketAddress("127.0.0.1", 0), service, CALL_TIMEOUT_MILLIS);
        server.start();
        try {
            List<String> lines = new ArrayList<>();
            Caller caller = new Caller(server.port(), service, lines);
            callConfiguration(caller);
            callWeights(caller);
            callInstances(caller);
            callWithFailures(caller);
            return lines;
        } finally {
            server.stop();
        }
    }

    private static void callConfiguration(Caller caller) throws IOException {
        caller.call("GET", "/burlarch/config", "", "");
        caller.call("PUT", "/burlarch/config", "", "{}");
        caller.call("PUT", "/burlarch/config", "If-Match: 7\r\n", "{}");
        caller.call("PATCH", "/burlarch/config", "If-Match: \"8\"\r\n", "{}");
        caller.call("PATCH", "/burlarch/config", "If-Match: x\r\n", "{}");
        caller.call("POST", "/burlarch/config", "", "{}");
        caller.call("GET", "/burlarch/other", "", "");
    }

    private static void callWeights(Caller caller) throws IOException {
        caller.call("POST", "/burlarch/version-put", "", "{\"model\":\"m\",\"config_version\":2}");
        caller.call("POST", "/burlarch/version-put", "", "{\"model\":\"m\"}");
        caller.call("POST", "/burlarch/version-put", "", "{\"config_version\":2}");
        caller.call("POST", "/burlarch/version-put", "", "{");
        caller.call("POST", "/burlarch/version-put", "", "[]");
        caller.call("PUT", "/burlarch/version-put", "", "{}");
    }

    private static void callInstances(Caller caller) throws IOException {
        caller.call("PUT", "/burlarch/instances/i-1", "", HEARTBEAT);
        caller.call("PUT", "/burlarch/instances/i-1", "", HEARTBEAT.replace("ready", "draining"));
        caller.call("PUT", "/burlarch/instances/i-1", "", HEARTBEAT.replace("ready", "asleep"));
        caller.call("PUT", "/burlarch/instances/i-1", "", HEARTBEAT.replace("\"service\":\"blue\",", ""));
        caller.call("PUT", "/burlarch/instances/i-1", "", HEARTBEAT.replace(":8080", ""));
        caller.call("PUT", "/burlarch/instances/i-1", "", HEARTBEAT.replace(",\"sequence\":4", ""));
        caller.call("PUT", "/burlarch/instances/i-1", "", HEARTBEAT.replace("\"sequence\":4", "\"sequence\":-1"));
        caller.call("PUT", "/burlarch/instances/i-1", "", HEARTBEAT.replace("\"name\":\"m\",", ""));
        caller.call("DELETE", "/burlarch/instances/i-1", "", "");
        caller.call("DELETE", "/burlarch/instances/a/b", "", "");
        caller.call("GET", "/burlarch/instances/i-1", "", "");
    }

    private static void callWithFailures(Caller caller) throws IOException {
        for (ErrorKind kind : ErrorKind.values()) {
            caller.service.result =
                    CompletableFuture.failedFuture(new ControlException(kind, "routes[0].name", "must be there"));
            caller.call("PUT", "/burlarch/config", "", "{}");
        }
        caller.service.result = CompletableFuture.failedFuture(new IllegalStateException("for this test"));
        caller.call("PUT", "/burlarch/config", "", "{}");
    }

    private static final class Caller {
        private final int port;
        private final FakeControlService service;
        private final List<String> lines;

        Caller(int port, FakeControlService service, List<String> lines) {
            this.port = port;
            this.service = service;
            this.lines = lines;
        }

        void call(String method, String path, String headers, String body) throws IOException {
            service.calls.clear();
            service.announced.clear();
            int length = body.getBytes(StandardCharsets.UTF_8).length;
            String head = method + " " + path + " HTTP/1.1\r\nHost: c\r\nContent-Length: " + length + "\r\n" + headers;
            lines.add("> " + method + " " + path + " " + headers.strip() + " " + body);
            List<String> response = RawHttp.exchange(port, head + "\r\n" + body);
            service.calls.forEach(call -> lines.add("  service: " + call));
            service.announced.forEach(instance -> lines.add("  instance: " + format(instance)));
            lines.addAll(response);
        }

        /** Formats the fields by position, so that the golden file does not depend on names in the code. */
        private static String format(Instance instance) {
            return String.join(
                    " ",
                    instance.id(),
                    instance.service(),
                    instance.address(),
                    instance.zone(),
                    instance.softwareVersion(),
                    Integer.toString(instance.capacity()),
                    Integer.toString(instance.state().ordinal()),
                    Long.toString(instance.warmupLeftMillis()),
                    instance.models().get(0).name(),
                    Long.toString(instance.models().get(0).version()),
                    Long.toString(instance.sequence()));
        }
    }
}
