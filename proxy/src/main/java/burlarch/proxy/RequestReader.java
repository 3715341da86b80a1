package burlarch.proxy;

import burlarch.decisions.Api.Repeat;
import burlarch.wire.Instance;
import burlarch.wire.SimulatorAdapter;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Validates client requests and converts them to the form that the request table takes. */
public final class RequestReader {
    /**
     * Margin between the policy's deadline and the client's. The response must reach the client before its
     * timeout, which counts from when it sent the request, not from when the proxy read it.
     */
    static final long DEADLINE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    private final ProxyClock clock;
    private final Instance instance;
    private final LongSupplier readDelayNanos;
    /** The longest timeout that a client has given a request so far. */
    private long longestTimeoutNanos;
    /** Deadline of all requests at the end of a drain; {@code Long.MAX_VALUE} while not draining. */
    private long drainDeadlineNanos = Long.MAX_VALUE;

    RequestReader(ProxyClock clock, Instance instance, LongSupplier readDelayNanos) {
        this.clock = clock;
        this.instance = instance;
        this.readDelayNanos = readDelayNanos;
    }

    long longestTimeoutNanos() {
        return longestTimeoutNanos;
    }

    /** Limits the deadline of every request read from now on. */
    void limitDeadlines(long deadlineNanos) {
        drainDeadlineNanos = deadlineNanos;
    }

    /**
     * Checks that the message was decoded and has unambiguous framing.
     *
     * @throws Rejection otherwise; the connection must be closed then, as the start of the next request is unknown
     */
    static void checkFraming(FullHttpRequest request) throws Rejection {
        DecoderResult result = request.decoderResult();
        if (result.isFailure()) {
            throw new Rejection(statusOf(result.cause()));
        }
        // Request smuggling: a body that two implementations delimit differently may contain another request.
        List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (encodings.size() > 1
                || encodings.size() == 1 && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0))) {
            throw new Rejection(HttpResponseStatus.BAD_REQUEST);
        }
    }

    private static HttpResponseStatus statusOf(Throwable decoderFailure) {
        if (decoderFailure instanceof RequestHeadMemory.BudgetExceededException) {
            return HttpResponseStatus.TOO_MANY_REQUESTS;
        }
        return decoderFailure instanceof TooLongHttpHeaderException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST;
    }

    /**
     * Validates a request and computes its deadline.
     *
     * @param readNanos when the request was read; its timeout counts from then
     * @throws Rejection if the path, the method or a header is invalid
     */
    public RequestTable.ClientRequest parse(FullHttpRequest request, long readNanos) throws Rejection {
        String path = pathOf(request.uri());
        int classEnd = path.indexOf('/', 1);
        String className = !path.startsWith("/") ? "" : path.substring(1, classEnd < 0 ? path.length() : classEnd);
        String key = classEnd < 0 ? "" : path.substring(path.lastIndexOf('/') + 1);
        String headerClassName = request.headers().get(Headers.CLASS);
        int requestClass = Instance.indexOf(instance.classes, className);
        // The class is given in the path and, optionally, in a header. If they differ, the path does not exist.
        if (requestClass < 0 || headerClassName != null && !className.equals(headerClassName)) {
            throw new Rejection(HttpResponseStatus.NOT_FOUND);
        }
        HttpMethod method = request.method();
        if (!method.equals(HttpMethod.GET) && !method.equals(HttpMethod.PUT)) {
            throw new Rejection(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        String tenant = request.headers().get(Headers.TENANT);
        String requestId = request.headers().get(Headers.REQUEST_ID);
        String idempotencyKey = request.headers().get(Headers.IDEMPOTENCY_KEY);
        boolean needsIdempotencyKey = method.equals(HttpMethod.PUT)
                && instance.settings.classes().get(requestClass).repeat() == Repeat.TOKEN;
        if (requestId == null || requestId.isBlank() || needsIdempotencyKey && idempotencyKey == null) {
            throw new Rejection(HttpResponseStatus.BAD_REQUEST);
        }
        long timeoutMs = parseNumber(request, Headers.TIMEOUT_MS, -1);
        long costMicros = parseNumber(request, Headers.COST, 0);
        if (timeoutMs <= 0) {
            throw new Rejection(HttpResponseStatus.BAD_REQUEST);
        }
        // A client cannot extend the timeout beyond its class's deadline.
        long timeoutNanos =
                Math.min(TimeUnit.MILLISECONDS.toNanos(timeoutMs), instance.deadlinesNanos.get(requestClass));
        longestTimeoutNanos = Math.max(longestTimeoutNanos, timeoutNanos);
        // An event loop that lags has read the request late and will send the response late.
        long deadlineNanos = Math.min(
                drainDeadlineNanos,
                readNanos
                        + timeoutNanos
                        - Math.min(DEADLINE_MARGIN_NANOS + 2 * readDelayNanos.getAsLong(), timeoutNanos / 2));
        return new RequestTable.ClientRequest(
                requestClass,
                Instance.indexOf(instance.tenants, tenant),
                !key.isEmpty(),
                key.isEmpty() ? 0 : SimulatorAdapter.digest(key),
                deadlineNanos,
                TimeUnit.MICROSECONDS.toNanos(costMicros),
                tenant == null ? "" : tenant,
                key,
                new UpstreamRequest(
                        method, request.uri(), requestId, idempotencyKey, ByteBufUtil.getBytes(request.content())),
                (int) timeoutMs);
    }

    /** Whether the settings have a class of that name whose requests have no side effects and may be repeated. */
    public boolean isPure(String className) {
        int requestClass = Instance.indexOf(instance.classes, className);
        return requestClass >= 0
                && instance.settings.classes().get(requestClass).repeat() == Repeat.PURE;
    }

    /** Whether the policy regards the request as expired, which it does one time quantum before the deadline. */
    public boolean timeIsUp(RequestTable.ClientRequest clientRequest) {
        return clock.nowNanos() >= clientRequest.deadlineNanos() - instance.settings.quantumNanos();
    }

    private static long parseNumber(FullHttpRequest request, CharSequence header, long defaultNumber) throws Rejection {
        String text = request.headers().get(header);
        if (text == null) {
            return defaultNumber;
        }
        if (text.isEmpty() || text.length() > 9) {
            throw new Rejection(HttpResponseStatus.BAD_REQUEST);
        }
        long number = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                throw new Rejection(HttpResponseStatus.BAD_REQUEST);
            }
            number = 10 * number + digit;
        }
        return number;
    }

    /** The part of the URI before a query or a fragment. */
    private static String pathOf(String uri) {
        for (int i = 0; i < uri.length(); i++) {
            char c = uri.charAt(i);
            if (c == '?' || c == '#') {
                return uri.substring(0, i);
            }
        }
        return uri;
    }
}
