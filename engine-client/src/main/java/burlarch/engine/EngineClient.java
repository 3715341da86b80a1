package burlarch.engine;

import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/**
 * The calls to engines and stores that aren't requests. Failures are values of the answers: the futures don't
 * fail, and they complete on a thread of the HTTP client.
 */
public final class EngineClient implements EngineControlClient {
    /** The longest wait that a call for events may ask for. */
    public static final long MAXIMUM_WAIT_MILLIS = 1000;

    private static final long MARGIN_MILLIS = 700;
    private static final int MAXIMUM_EVENTS_BYTES = 1 << 20;
    private static final int MAXIMUM_LIST_BYTES = 2 << 20;
    private static final int MAXIMUM_SMALL_BYTES = 64 << 10;

    private final HttpClient http;
    private final EngineJsonCodec json = new EngineJsonCodec();

    /** @param http started, shared with the rest of the process */
    public EngineClient(HttpClient http) {
        this.http = http;
    }

    /**
     * Events after {@code since}.
     *
     * @param waitMillis how long the source may hold the call while there are none, at most
     *     {@link #MAXIMUM_WAIT_MILLIS}; calls that wait less than 200 ms are priced
     */
    public CompletableFuture<KvEventsResponse> kvEvents(EngineAddress target, long since, long waitMillis) {
        long wait = Math.max(0, Math.min(MAXIMUM_WAIT_MILLIS, waitMillis));
        Request request = request(target, "/burlarch/kv-events?since=" + since, wait);
        String waitText = Long.toString(wait);
        request.headers(headers -> headers.put("Wait-Ms", waitText));
        return send(request, new KvCall(json, MAXIMUM_EVENTS_BYTES));
    }

    /** All that the source keeps. This holds its work up and is priced. */
    public CompletableFuture<KvEventsResponse> kvList(EngineAddress target) {
        return send(request(target, "/burlarch/kv-list", MAXIMUM_WAIT_MILLIS), new KvCall(json, MAXIMUM_LIST_BYTES));
    }

    /** The engine's report, empty where it gave none. It is priced as a probe. */
    @Override
    public CompletableFuture<Optional<EngineReport>> report(EngineAddress target) {
        return send(request(target, "/burlarch/report", 0), new ReportCall(json));
    }

    /** Sends an order, once. */
    @Override
    public CompletableFuture<OrderResult> order(EngineAddress target, WeightsOrder order) {
        Request request = request(target, "/burlarch/order", 0)
                .method("POST")
                .body(new BytesRequestContent("application/json", json.order(order)));
        return send(request, new OrderCall());
    }

    private Request request(EngineAddress target, String path, long waitMillis) {
        Request request = http.newRequest(target.uri(path))
                .followRedirects(false)
                .timeout(waitMillis + MARGIN_MILLIS, TimeUnit.MILLISECONDS);
        if (target.instance() != null) {
            request.headers(headers -> headers.put("X-Target-Instance", target.instance()));
        }
        return request;
    }

    private static <T> CompletableFuture<T> send(Request request, EngineResponseListener<T> call) {
        request.send(call);
        return call.future();
    }

    private static final class KvCall extends EngineResponseListener<KvEventsResponse> {
        private final EngineJsonCodec json;

        KvCall(EngineJsonCodec json, int maximumBytes) {
            super(maximumBytes);
            this.json = json;
        }

        @Override
        KvEventsResponse meaning(int status, byte[] body) {
            return switch (status) {
                case 200 -> parsed(body);
                case 421 -> KvEventsResponse.failed(KvEventsResponse.Status.MISDIRECTED);
                case 429 -> KvEventsResponse.failed(KvEventsResponse.Status.LIMITED);
                case NONE -> KvEventsResponse.failed(KvEventsResponse.Status.NO_ANSWER);
                default -> KvEventsResponse.failed(KvEventsResponse.Status.INVALID);
            };
        }

        private KvEventsResponse parsed(byte[] body) {
            try {
                return json.kv(body);
            } catch (IOException e) {
                return KvEventsResponse.failed(KvEventsResponse.Status.INVALID);
            }
        }
    }

    private static final class ReportCall extends EngineResponseListener<Optional<EngineReport>> {
        private final EngineJsonCodec json;

        ReportCall(EngineJsonCodec json) {
            super(MAXIMUM_SMALL_BYTES);
            this.json = json;
        }

        @Override
        Optional<EngineReport> meaning(int status, byte[] body) {
            if (status != 200) {
                return Optional.empty();
            }
            try {
                return Optional.of(json.report(body));
            } catch (IOException e) {
                return Optional.empty();
            }
        }
    }

    private static final class OrderCall extends EngineResponseListener<OrderResult> {
        OrderCall() {
            super(MAXIMUM_SMALL_BYTES);
        }

        @Override
        OrderResult meaning(int status, byte[] body) {
            return switch (status) {
                case 200 -> OrderResult.ALREADY_LOADED;
                case 202 -> OrderResult.ACCEPTED;
                case 400 -> OrderResult.INVALID;
                case 409 -> OrderResult.CONFLICT;
                case 412 -> OrderResult.FENCED;
                case 421 -> OrderResult.MISDIRECTED;
                default -> OrderResult.NO_RESPONSE;
            };
        }
    }
}
