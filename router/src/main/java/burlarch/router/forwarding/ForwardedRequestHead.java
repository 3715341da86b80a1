package burlarch.router.forwarding;

import burlarch.router.http.Headers;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** The head of a request as it is forwarded: target and headers of the client, and those of the router. */
final class ForwardedRequestHead {
    private static final String LINE_END = "\r\n";
    private static final int INITIAL_CHARS = 512;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String method;
    private final String target;
    private final HttpFields fields;
    private final Set<String> connectionOptions;
    private final boolean hasBody;

    ForwardedRequestHead(String method, String target, HttpFields fields) {
        this.method = method;
        this.target = target;
        this.fields = fields;
        this.connectionOptions = Headers.connectionOptions(fields);
        this.hasBody = fields.contains(HttpHeader.CONTENT_LENGTH) || fields.contains(HttpHeader.TRANSFER_ENCODING);
    }

    /**
     * The bytes of the head for one attempt.
     *
     * @param bodyLength in bytes
     * @param resumeAfter replaces Last-Event-Id of the client unless null
     */
    ByteBuffer encode(RouteRequest request, Placement.Send send, int bodyLength, String resumeAfter, long nowNanos) {
        StringBuilder head = new StringBuilder(INITIAL_CHARS);
        head.append(method).append(' ').append(target).append(" HTTP/1.1").append(LINE_END);
        for (HttpField field : fields) {
            boolean replaced = resumeAfter != null && field.getName().equalsIgnoreCase(Headers.LAST_EVENT_ID);
            if (!replaced && Headers.isForwardedToInstance(field.getName(), connectionOptions)) {
                append(head, field.getName(), field.getValue());
            }
        }
        append(head, Headers.LAST_EVENT_ID, resumeAfter);
        if (hasBody || bodyLength > 0) {
            append(head, "Content-Length", Integer.toString(bodyLength));
        }
        long remainingMillis = Math.max(1, (request.deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
        append(head, Headers.DEADLINE, Long.toString(remainingMillis));
        append(head, Headers.TARGET, send.instance().id());
        append(
                head,
                Headers.TENANT,
                request.tenant() == null ? null : request.tenant().name());
        append(head, "Cache-Salt", send.cacheSalt());
        append(head, "Expect-Version", send.expectVersion() > 0 ? Long.toString(send.expectVersion()) : null);
        append(head, "Kv-Fetch", send.kvFetch());
        append(head, "Kv-Save", send.kvSave());
        append(head, "Priority", Integer.toString(send.priority()));
        head.append(LINE_END);
        return ByteBuffer.wrap(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void append(StringBuilder head, String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append(LINE_END);
        }
    }
}
