package burlarch.engine;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.registry.Instance.ServedModel;
import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderMode;
import burlarch.coordination.rollout.OrderResult;
import burlarch.routing.KvEvents.KvEvent;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the calls that the client sends to a stub engine on loopback, and how it interprets the responses. */
class EngineClientTest {
    private final HttpClient http = new HttpClient();
    private StubEngine engine;
    private EngineClient client;
    private EngineAddress target;

    @BeforeEach
    void start() throws Exception {
        http.start();
        engine = new StubEngine();
        client = new EngineClient(http);
        target = new EngineAddress("i-1", engine.address());
    }

    @AfterEach
    void stop() throws Exception {
        engine.close();
        http.stop();
    }

    @Test
    void kvEventsReturnsParsedEvents() throws Exception {
        engine.respondsWith(
                200,
                "{\"new\":{\"a\":[1]},"
                        + "\"epoch\":7,\"next_page_token\":120,\"lost\":true,\"events\":["
                        + "[119,\"+\",\"s1\",\"5c1e07a2\",800,\"m\"],"
                        + "[120,\"-\",\"\",\"fedcba9876543210\",128,\"m\",\"more\"]]}");

        KvEventsResponse response = requestEvents();

        assertThat(response)
                .isEqualTo(new KvEventsResponse(
                        KvEventsResponse.Status.OK,
                        7,
                        120,
                        true,
                        List.of(
                                new KvEvent(true, "s1", 0x5c1e07a2L, 800, "m"),
                                new KvEvent(false, "", 0xfedcba9876543210L, 128, "m"))));
        assertThat(response.events().get(0).model())
                .isSameAs(response.events().get(1).model());
        assertThat(engine.nextRequest()).isEqualTo("GET /burlarch/kv-events?since=118 900 i-1");
    }

    @Test
    void kvListReturnsParsedSnapshot() throws Exception {
        engine.respondsWith(200, "{\"epoch\":7,\"next_page_token\":120,\"held\":[[\"s1\",\"a\",800,\"m\"]]}");

        KvEventsResponse response = client.kvList(target).get(5, TimeUnit.SECONDS);

        assertThat(response)
                .isEqualTo(new KvEventsResponse(
                        KvEventsResponse.Status.OK, 7, 120, false, List.of(new KvEvent(true, "s1", 10, 800, "m"))));
        assertThat(engine.nextRequest()).isEqualTo("GET /burlarch/kv-list null i-1");
    }

    @Test
    void callToStoreHasNoTargetInstanceAndBoundedWait() throws Exception {
        engine.respondsWith(200, "{\"epoch\":7,\"next_page_token\":0,\"lost\":false,\"events\":[]}");

        client.kvEvents(new EngineAddress(null, engine.address()), 0, 5000).get(5, TimeUnit.SECONDS);

        assertThat(engine.nextRequest()).isEqualTo("GET /burlarch/kv-events?since=0 1000 null");
    }

    @Test
    void kvEventsMapsEachFailureToItsStatus() throws Exception {
        engine.respondsWith(429, "")
                .respondsWith(421, "")
                .respondsWith(500, "")
                .respondsWith(200, "{\"epoch\":7,\"events\":[[1,")
                .respondsWith(200, "[]")
                .respondsWith(200, " ".repeat((1 << 20) + 1));

        assertThat(requestEvents().status()).isEqualTo(KvEventsResponse.Status.LIMITED);
        assertThat(requestEvents().status()).isEqualTo(KvEventsResponse.Status.MISDIRECTED);
        assertThat(requestEvents().status()).isEqualTo(KvEventsResponse.Status.INVALID);
        assertThat(requestEvents().status()).isEqualTo(KvEventsResponse.Status.INVALID);
        assertThat(requestEvents().status()).isEqualTo(KvEventsResponse.Status.INVALID);
        assertThat(requestEvents().status()).isEqualTo(KvEventsResponse.Status.INVALID);
    }

    @Test
    void responseWithRequestIdCountsAsNoResponse() throws Exception {
        engine.respondsWithRequestId(200, "{}", "9c41d07be2a35f68")
                .respondsWithRequestId(200, "{}", "9c41d07be2a35f68");

        assertThat(sendOrder(WeightsOrder.ANY_REVISION)).isEqualTo(OrderResult.NO_RESPONSE);
        assertThat(requestEvents().status()).isEqualTo(KvEventsResponse.Status.NO_RESPONSE);
    }

    @Test
    void callsToStoppedEngineReturnNoResponse() throws Exception {
        engine.close();

        assertThat(requestEvents().status()).isEqualTo(KvEventsResponse.Status.NO_RESPONSE);
        assertThat(sendOrder(WeightsOrder.ANY_REVISION)).isEqualTo(OrderResult.NO_RESPONSE);
        assertThat(client.report(target).get(5, TimeUnit.SECONDS)).isEmpty();
    }

    @Test
    void reportReturnsParsedReport() throws Exception {
        engine.respondsWith(
                200,
                "{\"stage\":\"hybrid\",\"models\":[{\"name\":\"m\",\"config_version\":3,"
                        + "\"adapters\":[{\"name\":\"x\"}]}],\"busy\":true,\"sequence\":2,\"queued\":1,"
                        + "\"running\":12,\"kv_used\":41000,\"kv_total\":90000,\"handles\":0}");

        assertThat(client.report(target).get(5, TimeUnit.SECONDS))
                .contains(new EngineReport(List.of(new ServedModel("m", 3)), true, 2, 1, 12, 41000, 90000));
    }

    @Test
    void orderBodyHasHolderFencingTokenAndRevision() throws Exception {
        engine.respondsWith(202, "").respondsWith(202, "");

        sendOrder(WeightsOrder.ANY_REVISION);
        sendOrder(4);

        String body = "{\"op\":\"config_version\",\"model\":\"m\",\"config_version\":2,\"mode\":\"queue\","
                + "\"holder\":\"core-1\",\"fence_token\":41";
        assertThat(engine.nextRequest()).isEqualTo("POST /burlarch/order null i-1 " + body + "}");
        assertThat(engine.nextRequest()).isEqualTo("POST /burlarch/order null i-1 " + body + ",\"if_revision\":4}");
    }

    @Test
    void orderMapsEachStatusToItsResult() throws Exception {
        engine.respondsWith(202, "")
                .respondsWith(200, "")
                .respondsWith(409, "")
                .respondsWith(412, "")
                .respondsWith(400, "")
                .respondsWith(421, "")
                .respondsWith(503, "");

        assertThat(sendOrder(1)).isEqualTo(OrderResult.ACCEPTED);
        assertThat(sendOrder(1)).isEqualTo(OrderResult.ALREADY_LOADED);
        assertThat(sendOrder(1)).isEqualTo(OrderResult.CONFLICT);
        assertThat(sendOrder(1)).isEqualTo(OrderResult.FENCED);
        assertThat(sendOrder(1)).isEqualTo(OrderResult.INVALID);
        assertThat(sendOrder(1)).isEqualTo(OrderResult.MISDIRECTED);
        assertThat(sendOrder(1)).isEqualTo(OrderResult.NO_RESPONSE);
    }

    private KvEventsResponse requestEvents() throws Exception {
        return client.kvEvents(target, 118, 900).get(5, TimeUnit.SECONDS);
    }

    private OrderResult sendOrder(long revision) throws Exception {
        return client.order(target, new WeightsOrder("m", 2, OrderMode.QUEUE, "core-1", 41, revision))
                .get(5, TimeUnit.SECONDS);
    }
}
