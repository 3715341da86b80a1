package burlarch.router;

import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** The head of a request as it goes on: target and headers as the client sent them, and the router's. */
final class ForwardedRequestHead {
    private static final String LINE_END = "\r\n";

    private final String method;
    private final String target;
    private final HttpFields fields;
    private final Set<String> named;
    private final boolean hasBody;

    ForwardedRequestHead(String method, String target, HttpFields fields) {
        this.method = method;
        this.target = target;
        this.fields = fields;
        this.named = Headers.namedByConnection(fields);
        this.hasBody = fields.contains(HttpHeader.CONTENT_LENGTH) || fields.contains(HttpHeader.TRANSFER_ENCODING);
    }

    /** Bytes of the head for one attempt; {@code resumeAfter} replaces Last-Event-Id unless null. */
    ByteBuffer bytes(RouteRequest request, Placement.Send send, int bodyLength, String resumeAfter, long nowNanos) {
        StringBuilder head = new StringBuilder(512);
        head.append(method).append(' ').append(target).append(" HTTP/1.1").append(LINE_END);
        for (HttpField field : fields) {
            boolean replaced = resumeAfter != null && field.getName().equalsIgnoreCase(Headers.LAST_EVENT_ID);
            if (!replaced && Headers.passesWithRequest(field.getName(), named)) {
                add(head, field.getName(), field.getValue());
            }
        }
        add(head, Headers.LAST_EVENT_ID, resumeAfter);
        if (hasBody || bodyLength > 0) {
            add(head, "Content-Length", Integer.toString(bodyLength));
        }
        long left = Math.max(1, (request.deadlineNanos() - nowNanos) / 1_000_000);
        add(head, Headers.DEADLINE, Long.toString(left));
        add(head, Headers.TARGET, send.instance().id());
        add(
                head,
                Headers.TENANT,
                request.tenant() == null ? null : request.tenant().name());
        add(head, "Cache-Salt", send.cacheSalt());
        add(head, "Expect-Version", send.expectVersion() > 0 ? Long.toString(send.expectVersion()) : null);
        add(head, "Kv-Fetch", send.kvFetch());
        add(head, "Kv-Save", send.kvSave());
        add(head, "Priority", Integer.toString(send.priority()));
        head.append(LINE_END);
        return ByteBuffer.wrap(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void add(StringBuilder head, String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append(LINE_END);
        }
    }
}
