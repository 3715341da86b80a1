package burlarch.emulator.server;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.emulator.model.EngineParameters;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the emulated instances on loopback through their HTTP interface. */
class EmulatedInstancesTest {
    private final Queue<String> executedRequests = new ConcurrentLinkedQueue<>();
    private final ExecutionListener listener = new ExecutionListener() {
        @Override
        public void onExecuted(String requestId, String instance) {
            executedRequests.add(requestId);
        }

        @Override
        public void onRequestAfterDrain(String requestId, String instance) {
            throw new AssertionError("nothing drains here");
        }
    };
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private EngineServer engine;
    private PlainServer plain;
    private StoreServer store;

    @BeforeEach
    void start() throws Exception {
        engine = new EngineServer(
                new InstanceIdentity("i-e", "engines", "127.0.0.1", 0, "hall", 16),
                listener,
                EngineParameters.small(),
                Map.of("m", 1L),
                1,
                7,
                http);
        plain = new PlainServer(new InstanceIdentity("i-p", "shop", "127.0.0.1", 0, "hall", 1), listener, 1);
        store = new StoreServer(new InstanceIdentity("i-s", "store", "127.0.0.1", 0, "hall", 1), listener, 1_000, 1, 8);
        engine.start();
        plain.start();
        store.start();
    }

    @AfterEach
    void stop() {
        engine.close();
        plain.close();
        store.close();
    }

    private HttpResponse<String> call(
            EmulatedInstance target, String method, String path, String body, String... headers) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + target.address() + path))
                .timeout(Duration.ofSeconds(20))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> generate(String... extraHeaders) throws Exception {
        String[] defaultHeaders = {
            "X-Request-Id",
            "r1",
            "X-Model",
            "m",
            "X-Token-Usage",
            "30,3",
            "X-Prefix-Hash",
            "5c:20,9a:10",
            "Cache-Salt",
            "m|1"
        };
        String[] allHeaders = Arrays.copyOf(defaultHeaders, defaultHeaders.length + extraHeaders.length);
        System.arraycopy(extraHeaders, 0, allHeaders, defaultHeaders.length, extraHeaders.length);
        return call(engine, "POST", "/talk/", "{}", allHeaders);
    }

    @Test
    void engineStreamsNumberedEvents() throws Exception {
        HttpResponse<String> response = generate();
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body())
                .isEqualTo("id: 1\ndata: word-1\n\nid: 2\ndata: word-2\n\n" + "id: 3\ndata: word-3 end\n\n");
        assertThat(response.headers().firstValue("X-Request-Id")).contains("r1");
        assertThat(response.headers().firstValue("X-Response-Signature")).contains("engines.i-e.r1");
        assertThat(response.headers().firstValue("Versions")).contains("1");
        assertThat(response.headers().firstValue("X-Server-Load")).isPresent();
        assertThat(executedRequests).containsExactly("r1");
    }

    @Test
    void streamIsResumedAfterLastEventId() throws Exception {
        assertThat(generate("Last-Event-Id", "2").body()).isEqualTo("id: 3\ndata: word-3 end\n\n");
    }

    @Test
    void misdirectedRequestsAreNotExecuted() throws Exception {
        HttpResponse<String> response = generate("X-Target-Instance", "i-other");
        assertThat(response.statusCode()).isEqualTo(421);
        assertThat(response.headers().firstValue("X-Not-Executed")).isPresent();
        assertThat(generate("Expect-Version", "2").statusCode()).isEqualTo(421);
        assertThat(call(plain, "GET", "/read/", "").statusCode()).isEqualTo(400);
        assertThat(executedRequests).isEmpty();
    }

    @Test
    void plainInstanceRespondsToRequestsAndHealthChecks() throws Exception {
        HttpResponse<String> response = call(plain, "GET", "/read/", "", "X-Request-Id", "r2");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("shop r2");
        assertThat(call(plain, "GET", "/healthz", "").headers().firstValue("X-Instance-Id"))
                .contains("i-p");
    }

    @Test
    void orderIsCheckedReportedAndBlocksRequests() throws Exception {
        String order = "{\"op\":\"config_version\",\"model\":\"m\",\"config_version\":2,\"mode\":\"retain\","
                + "\"holder\":\"h\",\"fence_token\":4}";
        assertThat(call(engine, "POST", "/burlarch/order", order).statusCode()).isEqualTo(202);
        assertThat(call(engine, "POST", "/burlarch/order", order.replace(":4", ":3"))
                        .statusCode())
                .isEqualTo(412);
        assertThat(call(engine, "POST", "/burlarch/order", "no order").statusCode())
                .isEqualTo(400);
        assertThat(call(engine, "GET", "/burlarch/report", "").body())
                .contains("\"busy\":true", "\"sequence\":1", "\"config_version\":1");
        assertThat(generate().statusCode()).isEqualTo(503);
    }

    @Test
    void cacheEventsAndSnapshotListSegments() throws Exception {
        generate();
        String events = call(engine, "GET", "/burlarch/kv-events?since=0", "", "Wait-Ms", "500")
                .body();
        assertThat(events)
                .contains(
                        "\"epoch\":7", "\"next_page_token\":2", "\"lost\":false", "[1,\"+\",\"m|1\",\"5c\",20,\"m\"]");
        assertThat(call(engine, "GET", "/burlarch/kv-list", "").body())
                .contains("\"held\":[[\"m|1\",\"5c\",20,\"m\"],[\"m|1\",\"9a\",10,\"m\"]]");
    }

    @Test
    void segmentsAreSavedToAStoreAndFetchedFromIt() throws Exception {
        call(store, "PUT", "/burlarch/kv-parts", "", "Cache-Salt", "m|1", "X-Prefix-Hash", "5c:20", "X-Model", "m");
        generate("Kv-Fetch", store.address());
        assertThat(call(engine, "GET", "/burlarch/kv-events?since=0", "").body())
                .contains("[1,\"+\",\"m|1\",\"5c\",20,\"m\"]");
        assertThat(KvCacheEndpoints.fetch(http, store.address(), "m|1", "5c:20,9a:10"))
                .hasSize(1);
        assertThat(KvCacheEndpoints.fetch(http, "127.0.0.1:1", "m|1", "5c:20")).isEmpty();
    }

    @Test
    void waitingCallsForEventsAreLimited() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + engine.address() + "/burlarch/kv-events?since=0"))
                .header("Wait-Ms", "1000")
                .build();
        var firstResponse = http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
        var secondResponse = http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
        assertThat(List.of(
                        firstResponse.get().statusCode(), secondResponse.get().statusCode()))
                .containsExactlyInAnyOrder(200, 429);
    }
}
