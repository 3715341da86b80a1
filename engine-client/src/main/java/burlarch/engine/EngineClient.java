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
 * HTTP client for the control calls to engines and KV stores; it does not carry requests of clients. A failed call
 * is a value of its result: the futures do not complete exceptionally if an engine fails or does not respond. They
 * complete on a thread of the HTTP client. Thread-safe.
 */
public final class EngineClient implements EngineControlClient {
    /** Longest time for which a call may ask the source to wait for events. */
    public static final long MAX_WAIT_MILLIS = 1000;

    /** Added to the requested wait to give the timeout of a call. */
    private static final long TIMEOUT_MARGIN_MILLIS = 700;

    private static final int MAX_EVENTS_RESPONSE_BYTES = 1 << 20;
    private static final int MAX_SNAPSHOT_RESPONSE_BYTES = 2 << 20;
    private static final int MAX_CONTROL_RESPONSE_BYTES = 64 << 10;

    /**
     * Tag of the connections that carry orders and nothing else. Responses to control calls have no id, so a surplus
     * response to another call could be taken for the response to an order.
     */
    private static final String ORDER_CONNECTIONS = "orders";

    private final HttpClient http;
    private final EngineJsonCodec codec = new EngineJsonCodec();

    /** @param http a started client, which may be shared; the caller stops it */
    public EngineClient(HttpClient http) {
        this.http = http;
    }

    /**
     * Requests the prefix-cache events after offset {@code since}.
     *
     * @param waitMillis how long the source may delay its response while it has no events; clamped to the range
     *     from 0 to {@link #MAX_WAIT_MILLIS}. A call that waits less than 200 ms is charged
     */
    public CompletableFuture<KvEventsResponse> kvEvents(EngineAddress target, long since, long waitMillis) {
        long boundedWaitMillis = Math.max(0, Math.min(MAX_WAIT_MILLIS, waitMillis));
        Request request = request(target, "/burlarch/kv-events?since=" + since, boundedWaitMillis);
        String waitHeader = Long.toString(boundedWaitMillis);
        request.headers(headers -> headers.put("Wait-Ms", waitHeader));
        return send(request, new KvResponseListener(codec, MAX_EVENTS_RESPONSE_BYTES));
    }

    /** Requests a snapshot of all segments that the source caches. It delays other work and is charged. */
    public CompletableFuture<KvEventsResponse> kvList(EngineAddress target) {
        return send(
                request(target, "/burlarch/kv-list", MAX_WAIT_MILLIS),
                new KvResponseListener(codec, MAX_SNAPSHOT_RESPONSE_BYTES));
    }

    /** Requests the engine's report; empty if no valid report was received. Charged as a health check. */
    @Override
    public CompletableFuture<Optional<EngineReport>> report(EngineAddress target) {
        return send(request(target, "/burlarch/report", 0), new ReportResponseListener(codec));
    }

    /** Sends an order to load weights once, without a retry, over a connection that carries only orders. */
    @Override
    public CompletableFuture<OrderResult> order(EngineAddress target, WeightsOrder order) {
        Request request = request(target, "/burlarch/order", 0)
                .tag(ORDER_CONNECTIONS)
                .method("POST")
                .body(new BytesRequestContent("application/json", codec.writeOrder(order)));
        return send(request, new OrderResponseListener());
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

    private static <T> CompletableFuture<T> send(Request request, EngineResponseListener<T> listener) {
        request.send(listener);
        return listener.future();
    }

    private static final class KvResponseListener extends EngineResponseListener<KvEventsResponse> {
        private final EngineJsonCodec codec;

        KvResponseListener(EngineJsonCodec codec, int maxBytes) {
            super(maxBytes);
            this.codec = codec;
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
                return codec.readKvEvents(body);
            } catch (IOException e) {
                return KvEventsResponse.failed(KvEventsResponse.Status.INVALID);
            }
        }
    }

    private static final class ReportResponseListener extends EngineResponseListener<Optional<EngineReport>> {
        private final EngineJsonCodec codec;

        ReportResponseListener(EngineJsonCodec codec) {
            super(MAX_CONTROL_RESPONSE_BYTES);
            this.codec = codec;
        }

        @Override
        Optional<EngineReport> interpret(int status, byte[] body) {
            if (status != 200) {
                return Optional.empty();
            }
            try {
                return Optional.of(codec.readReport(body));
            } catch (IOException e) {
                return Optional.empty();
            }
        }
    }

    private static final class OrderResponseListener extends EngineResponseListener<OrderResult> {
        OrderResponseListener() {
            super(MAX_CONTROL_RESPONSE_BYTES);
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
