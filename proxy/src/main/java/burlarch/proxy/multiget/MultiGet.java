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
 * The multi-get port: several reads in one round trip. Each line is an ordinary request of the table, under
 * its own id and within the time that the client gave for all of them.
 */
public final class MultiGet implements RequestHandler {
    /** The class of all lines follows: one of the settings' that may be repeated freely. */
    private static final String PATH = "/multi/";

    private static final AsciiString PARTIAL = AsciiString.cached("X-Partial");
    private static final int HELD_MOST_BYTES = 4 << 20;

    private final RequestReader reader;
    private final RequestTable table;
    private final int maxKeys;
    private final AnswerBytes bytes;

    public MultiGet(RequestReader reader, RequestTable table, int maxKeys) {
        this(reader, table, maxKeys, new AnswerBytes(HELD_MOST_BYTES));
    }

    MultiGet(RequestReader reader, RequestTable table, int maxKeys, AnswerBytes bytes) {
        this.reader = reader;
        this.table = table;
        this.maxKeys = maxKeys;
        this.bytes = bytes;
    }

    @Override
    public String allow() {
        return "POST";
    }

    /** Reads every line before the first goes out: a body that is wrong somewhere has had no effect. */
    @Override
    public Runnable handle(FullHttpRequest request, long readNanos, Reply reply) throws Rejection {
        String requestClass = request.uri().startsWith(PATH) ? request.uri().substring(PATH.length()) : "";
        if (!reader.isPure(requestClass)) {
            throw new Rejection(HttpResponseStatus.NOT_FOUND);
        }
        if (!request.method().equals(HttpMethod.POST)) {
            throw new Rejection(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        List<RequestTable.Arrival> arrivals = new ArrayList<>();
        for (Line line : Line.parse(request.content().toString(StandardCharsets.ISO_8859_1), maxKeys)) {
            if (table.isOpen(line.id())) {
                throw new Rejection(HttpResponseStatus.BAD_REQUEST);
            }
            arrivals.add(reader.arrival(single(request, requestClass, line), readNanos));
        }
        Batch batch = new Batch(arrivals, bytes, reader::timeIsUp, whole -> answer(whole, reply));
        batch.send(table);
        return () -> batch.leave(table);
    }

    /** The line as its client would have sent it alone. */
    private static FullHttpRequest single(FullHttpRequest request, String requestClass, Line line) {
        FullHttpRequest single =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/" + requestClass + "/" + line.key());
        single.headers().set(Headers.REQUEST_ID, line.id());
        for (AsciiString name : List.of(Headers.TENANT, Headers.TIMEOUT_MS)) {
            String value = request.headers().get(name);
            if (value != null) {
                single.headers().set(name, value);
            }
        }
        return single;
    }

    private void answer(Batch batch, Reply reply) {
        HttpHeaders headers =
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_OCTET_STREAM);
        if (batch.partial()) {
            headers.set(PARTIAL, "1");
        }
        if (batch.retryAfterNanos() > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, Headers.seconds(batch.retryAfterNanos()));
        }
        // A client that does not read is cut off by its connection, and so held no longer than that.
        reply.answer(headers, batch.answer()).addListener(f -> batch.release());
    }
}
