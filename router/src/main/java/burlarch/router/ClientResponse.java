package burlarch.router;

import java.nio.ByteBuffer;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** The answer to one request of a client: a server's, passed on, or one of the router's own. Ends once. */
final class ClientResponse {
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final ForwardingContext context;
    private final EndPoint endPoint;
    private ClientDisconnectWatcher watch;
    private boolean chunked;
    private boolean ended;

    ClientResponse(Request request, Response response, Callback callback, ForwardingContext context) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.context = context;
        this.endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        context.openRequests().begin(endPoint);
    }

    /** Tells when the client closes its connection before the answer is over. */
    void watch(Runnable onGone) {
        watch = new ClientDisconnectWatcher(endPoint, onGone);
        watch.start();
    }

    /**
     * As {@link #watch}, for a request that has waited: its client may have left while nobody looked.
     *
     * @return whether the client is still there
     */
    boolean watchAfterWait(Runnable onGone) {
        watch = new ClientDisconnectWatcher(endPoint, onGone);
        return !watch.startAfterLook();
    }

    /** Whether the client's connection is still open from this side. */
    boolean isConnected() {
        return endPoint.isOpen();
    }

    /** Sets status and headers of a server's answer; they go out with the first write. */
    void head(int status, HttpFields fields) {
        response.setStatus(status);
        HttpFields.Mutable headers = response.getHeaders();
        Set<String> named = Headers.namedByConnection(fields);
        for (HttpField field : fields) {
            if (Headers.passesWithAnswer(field.getName(), named)) {
                headers.add(field);
            }
        }
        closeIfLast(headers);
        chunked = status != 204 && status != 304 && !headers.contains(HttpHeader.CONTENT_LENGTH);
        if (chunked) {
            // Said outright: a body may not end with the connection, as it would look complete when cut.
            headers.put(HttpHeader.TRANSFER_ENCODING, "chunked");
        }
    }

    /** Passes bytes on at once; they are in use until {@code written} is told. */
    void write(ByteBuffer content, Callback written) {
        response.write(false, chunked ? ChunkedFraming.frame(content) : content, written);
    }

    /** Ends an answer as whole; {@code tail} is the last of a body of told length. */
    void finish(ByteBuffer tail) {
        if (end()) {
            response.write(true, chunked ? ChunkedFraming.last() : tail, written());
        }
    }

    /** Answers with a status of the router's own and no body. */
    void own(int status, String retryAfter, boolean close) {
        if (!end()) {
            return;
        }
        response.setStatus(status);
        HttpFields.Mutable headers = response.getHeaders();
        String id = request.getHeaders().get(Headers.REQUEST_ID);
        if (id != null) {
            headers.put(Headers.REQUEST_ID, id);
        }
        if (retryAfter != null) {
            headers.put(Headers.RETRY_AFTER, retryAfter);
        }
        if (close) {
            headers.put(HttpHeader.CONNECTION, "close");
        }
        closeIfLast(headers);
        headers.put(HttpHeader.CONTENT_LENGTH, 0);
        response.write(true, BufferUtil.EMPTY_BUFFER, written());
    }

    /** Closes the client's connection, so that nothing of the answer looks complete. */
    void abort(Throwable cause) {
        if (end()) {
            endPoint.close(cause);
            written().failed(new QuietException.Exception(cause));
        }
    }

    private void closeIfLast(HttpFields.Mutable headers) {
        if (context.closesConnections()) {
            headers.put(HttpHeader.CONNECTION, "close");
        }
    }

    /** The request is open until its answer is written, or its connection is closed. */
    private Callback written() {
        return new Callback.Nested(callback) {
            @Override
            public void succeeded() {
                context.openRequests().end(endPoint);
                super.succeeded();
            }

            @Override
            public void failed(Throwable cause) {
                context.openRequests().end(endPoint);
                super.failed(cause);
            }
        };
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        if (watch != null) {
            watch.stop();
        }
        return true;
    }
}
