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

/** Encodes the head of a forwarded request: the client's target and headers, and the headers that the router sets. */
final class ForwardedRequestHead {
    private static final String CRLF = "\r\n";
    private static final int INITIAL_CHARS = 512;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String method;
    private final String target;
    private final HttpFields clientFields;
    private final Set<String> connectionOptions;
    private final boolean hasBody;

    ForwardedRequestHead(String method, String target, HttpFields clientFields) {
        this.method = method;
        this.target = target;
        this.clientFields = clientFields;
        this.connectionOptions = Headers.connectionOptions(clientFields);
        this.hasBody =
                clientFields.contains(HttpHeader.CONTENT_LENGTH) || clientFields.contains(HttpHeader.TRANSFER_ENCODING);
    }

    /**
     * Encodes the head for one attempt.
     *
     * @param bodyLength length of the body in bytes
     * @param resumeAfterEventId if not null, replaces the Last-Event-Id header of the client
     */
    ByteBuffer encode(
            RouteRequest request, Placement.Send send, int bodyLength, String resumeAfterEventId, long nowNanos) {
        StringBuilder head = new StringBuilder(INITIAL_CHARS);
        head.append(method).append(' ').append(target).append(" HTTP/1.1").append(CRLF);
        for (HttpField field : clientFields) {
            boolean isReplaced = resumeAfterEventId != null && field.getName().equalsIgnoreCase(Headers.LAST_EVENT_ID);
            if (!isReplaced && Headers.isForwardedToInstance(field.getName(), connectionOptions)) {
                appendHeader(head, field.getName(), field.getValue());
            }
        }
        appendHeader(head, Headers.LAST_EVENT_ID, resumeAfterEventId);
        if (hasBody || bodyLength > 0) {
            appendHeader(head, "Content-Length", Integer.toString(bodyLength));
        }
        long remainingMillis = Math.max(1, (request.deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
        appendHeader(head, Headers.DEADLINE, Long.toString(remainingMillis));
        appendHeader(head, Headers.TARGET, send.instance().id());
        appendHeader(
                head,
                Headers.TENANT,
                request.tenant() == null ? null : request.tenant().name());
        appendHeader(head, "Cache-Salt", send.cacheSalt());
        appendHeader(head, "Expect-Version", send.expectVersion() > 0 ? Long.toString(send.expectVersion()) : null);
        appendHeader(head, "Kv-Fetch", send.kvFetch());
        appendHeader(head, "Kv-Save", send.kvSave());
        appendHeader(head, "Priority", Integer.toString(send.priority()));
        head.append(CRLF);
        return ByteBuffer.wrap(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void appendHeader(StringBuilder head, String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append(CRLF);
        }
    }
}
