package burlarch.proxy.multiget;

import burlarch.proxy.Headers;
import burlarch.proxy.Rejection;
import burlarch.proxy.RequestHandler;
import burlarch.proxy.RequestReader;
import burlarch.proxy.RequestTable;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Handles requests on the multi-get port, which reads several keys in one round trip. Each line of the body becomes an
 * ordinary request of the {@link RequestTable}, with its own id and the timeout that the client gave for all of them.
 */
public final class MultiGet implements RequestHandler {
    /** Followed by the request class of all lines; it must be a configured class whose requests are free to repeat. */
    private static final String PATH_PREFIX = "/multi/";

    private static final AsciiString PARTIAL = AsciiString.cached("X-Partial");
    private static final int MAX_BUFFERED_BYTES = 4 << 20;

    private final RequestReader reader;
    private final RequestTable table;
    private final int maxKeys;
    private final ResponseByteBudget byteBudget;

    public MultiGet(RequestReader reader, RequestTable table, int maxKeys) {
        this(reader, table, maxKeys, new ResponseByteBudget(MAX_BUFFERED_BYTES));
    }

    MultiGet(RequestReader reader, RequestTable table, int maxKeys, ResponseByteBudget byteBudget) {
        this.reader = reader;
        this.table = table;
        this.maxKeys = maxKeys;
        this.byteBudget = byteBudget;
    }

    @Override
    public String allowedMethods() {
        return "POST";
    }

    /** Parses every line before sending the first request, so that an invalid body has no effect. */
    @Override
    public Runnable handle(FullHttpRequest request, long readNanos, Reply reply) throws Rejection {
        String requestClass =
                request.uri().startsWith(PATH_PREFIX) ? request.uri().substring(PATH_PREFIX.length()) : "";
        if (!reader.isPure(requestClass)) {
            throw new Rejection(HttpResponseStatus.NOT_FOUND);
        }
        if (!request.method().equals(HttpMethod.POST)) {
            throw new Rejection(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        List<RequestTable.ClientRequest> arrivals = new ArrayList<>();
        for (KeyRequest keyRequest :
                KeyRequest.parse(request.content().toString(StandardCharsets.ISO_8859_1), maxKeys)) {
            if (table.isOpen(keyRequest.id())) {
                throw new Rejection(HttpResponseStatus.BAD_REQUEST);
            }
            arrivals.add(reader.parse(singleRequest(request, requestClass, keyRequest), readNanos));
        }
        Batch batch = new Batch(arrivals, byteBudget, reader::timeIsUp, complete -> answer(complete, reply));
        batch.send(table);
        return () -> batch.abandon(table);
    }

    /** Returns the request that the client would have sent for this key alone. */
    private static FullHttpRequest singleRequest(FullHttpRequest request, String requestClass, KeyRequest keyRequest) {
        FullHttpRequest singleRequest = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, "/" + requestClass + "/" + keyRequest.key());
        singleRequest.headers().set(Headers.REQUEST_ID, keyRequest.id());
        for (AsciiString name : List.of(Headers.TENANT, Headers.TIMEOUT_MS)) {
            String value = request.headers().get(name);
            if (value != null) {
                singleRequest.headers().set(name, value);
            }
        }
        return singleRequest;
    }

    private void answer(Batch batch, Reply reply) {
        HttpHeaders headers =
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_OCTET_STREAM);
        if (batch.partial()) {
            headers.set(PARTIAL, "1");
        }
        if (batch.retryAfterNanos() > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, Headers.formatSeconds(batch.retryAfterNanos()));
        }
        // If the client does not read, its connection is closed, which also completes this write.
        reply.answer(headers, batch.responseBody()).addListener(written -> batch.release());
    }
}
