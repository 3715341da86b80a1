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
 * Sends the calls to engines and stores that are no requests of clients. Failures are values of the results:
 * the futures do not fail, and they complete on a thread of the HTTP client. May be called on any thread.
 */
public final class EngineClient implements EngineControlClient {
    /** The maximum wait that a call for events may ask for. */
    public static final long MAX_WAIT_MILLIS = 1000;

    private static final long TIMEOUT_MARGIN_MILLIS = 700;
    private static final int MAX_EVENTS_BYTES = 1 << 20;
    private static final int MAX_SNAPSHOT_BYTES = 2 << 20;
    private static final int MAX_SMALL_BYTES = 64 << 10;

    private final HttpClient http;
    private final EngineJsonCodec json = new EngineJsonCodec();

    /** @param http started; shared with the rest of the process */
    public EngineClient(HttpClient http) {
        this.http = http;
    }

    /**
     * Requests the events after {@code since}.
     *
     * @param waitMillis how long the source may hold the call while there are no events, at most
     *     {@link #MAX_WAIT_MILLIS}; calls that wait less than 200 ms are charged
     */
    public CompletableFuture<KvEventsResponse> kvEvents(EngineAddress target, long since, long waitMillis) {
        long wait = Math.max(0, Math.min(MAX_WAIT_MILLIS, waitMillis));
        Request request = request(target, "/burlarch/kv-events?since=" + since, wait);
        String waitText = Long.toString(wait);
        request.headers(headers -> headers.put("Wait-Ms", waitText));
        return send(request, new KvCall(json, MAX_EVENTS_BYTES));
    }

    /** Requests a snapshot of everything that the source caches. The call delays its work and is charged. */
    public CompletableFuture<KvEventsResponse> kvList(EngineAddress target) {
        return send(request(target, "/burlarch/kv-list", MAX_WAIT_MILLIS), new KvCall(json, MAX_SNAPSHOT_BYTES));
    }

    /** Requests the engine's report; empty if it gave none. The call is charged as a health check. */
    @Override
    public CompletableFuture<Optional<EngineReport>> report(EngineAddress target) {
        return send(request(target, "/burlarch/report", 0), new ReportCall(json));
    }

    /** Sends an order once, without a retry. */
    @Override
    public CompletableFuture<OrderResult> order(EngineAddress target, WeightsOrder order) {
        Request request = request(target, "/burlarch/order", 0)
                .method("POST")
                .body(new BytesRequestContent("application/json", json.writeOrder(order)));
        return send(request, new OrderCall());
    }

    private Request request(EngineAddress target, String path, long waitMillis) {
        Request request = http.newRequest(target.uri(path))
                .followRedirects(false)
                .timeout(waitMillis + TIMEOUT_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
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

        KvCall(EngineJsonCodec json, int maxBytes) {
            super(maxBytes);
            this.json = json;
        }

        @Override
        KvEventsResponse interpret(int status, byte[] body) {
            return switch (status) {
                case 200 -> parse(body);
                case 421 -> KvEventsResponse.failed(KvEventsResponse.Status.MISDIRECTED);
                case 429 -> KvEventsResponse.failed(KvEventsResponse.Status.LIMITED);
                case NO_RESPONSE -> KvEventsResponse.failed(KvEventsResponse.Status.NO_RESPONSE);
                default -> KvEventsResponse.failed(KvEventsResponse.Status.INVALID);
            };
        }

        private KvEventsResponse parse(byte[] body) {
            try {
                return json.readKvEvents(body);
            } catch (IOException e) {
                return KvEventsResponse.failed(KvEventsResponse.Status.INVALID);
            }
        }
    }

    private static final class ReportCall extends EngineResponseListener<Optional<EngineReport>> {
        private final EngineJsonCodec json;

        ReportCall(EngineJsonCodec json) {
            super(MAX_SMALL_BYTES);
            this.json = json;
        }

        @Override
        Optional<EngineReport> interpret(int status, byte[] body) {
            if (status != 200) {
                return Optional.empty();
            }
            try {
                return Optional.of(json.readReport(body));
            } catch (IOException e) {
                return Optional.empty();
            }
        }
    }

    private static final class OrderCall extends EngineResponseListener<OrderResult> {
        OrderCall() {
            super(MAX_SMALL_BYTES);
        }

        @Override
        OrderResult interpret(int status, byte[] body) {
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
