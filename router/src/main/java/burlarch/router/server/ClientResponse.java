package burlarch.router.server;

import burlarch.router.http.ChunkedFraming;
import burlarch.router.http.Headers;
import burlarch.router.lifecycle.DrainState;
import burlarch.router.lifecycle.InFlightRequests;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Response to one client request: either the forwarded response of an instance or one that the router generates.
 * It ends at most once, by the first call of {@link #finish}, {@link #respond} or {@link #abort}; later calls are
 * ignored. Not thread-safe: owned by its exchange.
 */
public final class ClientResponse {
    /** State of the client's connection after a response that the router generated. */
    public enum ConnectionAfter {
        /** The connection may carry another request, unless the router is draining. */
        REUSABLE,
        /** The response announces that the connection closes. */
        CLOSED
    }

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final InFlightRequests requests;
    private final DrainState drain;
    private final EndPoint endPoint;
    private ClientDisconnectWatcher watcher;
    private boolean chunked;
    private boolean ended;

    ClientResponse(Request request, Response response, Callback callback, InFlightRequests requests, DrainState drain) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.requests = requests;
        this.drain = drain;
        this.endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        requests.begin(endPoint);
    }

    /** Runs {@code onDisconnect} if the client closes its connection before the response has ended. */
    public void watchDisconnect(Runnable onDisconnect) {
        watcher = new ClientDisconnectWatcher(endPoint, onDisconnect);
        watcher.start();
    }

    /**
     * As {@link #watchDisconnect}, for a request that has waited: its client may have disconnected unnoticed
     * in the meantime.
     *
     * @return whether the client is still connected
     */
    public boolean watchDisconnectAfterWait(Runnable onDisconnect) {
        watcher = new ClientDisconnectWatcher(endPoint, onDisconnect);
        return !watcher.startAndCheckDisconnected();
    }

    /** Whether the client's connection is still open on this side. */
    public boolean isConnected() {
        return endPoint.isOpen();
    }

    /** Sets the status and headers of an instance's response; they are sent with the first write. */
    public void forwardHead(int status, HttpFields fields) {
        response.setStatus(status);
        HttpFields.Mutable headers = response.getHeaders();
        Set<String> connectionOptions = Headers.connectionOptions(fields);
        for (HttpField field : fields) {
            if (Headers.isForwardedToClient(field.getName(), connectionOptions)) {
                headers.add(field);
            }
        }
        announceCloseIfDraining(headers);
        chunked = status != 204 && status != 304 && !headers.contains(HttpHeader.CONTENT_LENGTH);
        if (chunked) {
            // Set explicitly: a truncated body would look complete if the end of the connection marked its end.
            headers.put(HttpHeader.TRANSFER_ENCODING, "chunked");
        }
    }

    /** Sends bytes of the body immediately. The content must not change until {@code written} completes. */
    public void write(ByteBuffer content, Callback written) {
        response.write(false, chunked ? ChunkedFraming.chunk(content) : content, written);
    }

    /**
     * Ends the response as complete.
     *
     * @param lastBytes last bytes of a body with a Content-Length; ignored for a chunked body
     */
    public void finish(ByteBuffer lastBytes) {
        if (endOnce()) {
            response.write(true, chunked ? ChunkedFraming.lastChunk() : lastBytes, onWritten());
        }
    }

    /**
     * Ends the response with a status that the router generates and without a body.
     *
     * @param retryAfter value of Retry-After, or null
     */
    public void respond(int status, String retryAfter, ConnectionAfter connection) {
        if (endOnce()) {
            writeGenerated(status, retryAfter, connection, onWritten());
        }
    }

    /**
     * As {@link #respond}, at once, while the request is still arriving. The connection carries another request if the
     * rest of this one arrives.
     *
     * @param requestEnd completes when the rest of the request has been read; fails if it did not arrive
     */
    public void respondDuringRequest(int status, String retryAfter, CompletableFuture<Void> requestEnd) {
        if (!endOnce()) {
            return;
        }
        Callback ended = onWritten();
        Callback onBothEnded = Callback.from(
                () -> requestEnd.whenComplete((done, failure) -> {
                    if (failure == null) {
                        ended.succeeded();
                    } else {
                        ended.failed(new QuietException.Exception(failure));
                    }
                }),
                ended::failed);
        writeGenerated(status, retryAfter, ConnectionAfter.REUSABLE, onBothEnded);
    }

    private void writeGenerated(int status, String retryAfter, ConnectionAfter connection, Callback written) {
        response.setStatus(status);
        HttpFields.Mutable headers = response.getHeaders();
        String requestId = request.getHeaders().get(Headers.REQUEST_ID);
        if (requestId != null) {
            headers.put(Headers.REQUEST_ID, requestId);
        }
        if (retryAfter != null) {
            headers.put(Headers.RETRY_AFTER, retryAfter);
        }
        if (connection == ConnectionAfter.CLOSED) {
            headers.put(HttpHeader.CONNECTION, "close");
        }
        announceCloseIfDraining(headers);
        headers.put(HttpHeader.CONTENT_LENGTH, 0);
        response.write(true, BufferUtil.EMPTY_BUFFER, written);
    }

    /** Closes the client's connection, so that a truncated response does not look complete. */
    public void abort(Throwable cause) {
        if (endOnce()) {
            endPoint.close(cause);
            onWritten().failed(new QuietException.Exception(cause));
        }
    }

    private void announceCloseIfDraining(HttpFields.Mutable headers) {
        if (drain.closesConnections()) {
            headers.put(HttpHeader.CONNECTION, "close");
        }
    }

    /** Ends the request when its response is written or its connection is closed; until then it is in flight. */
    private Callback onWritten() {
        return new Callback.Nested(callback) {
            @Override
            public void succeeded() {
                requests.end(endPoint);
                super.succeeded();
            }

            @Override
            public void failed(Throwable cause) {
                requests.end(endPoint);
                super.failed(cause);
            }
        };
    }

    private boolean endOnce() {
        if (ended) {
            return false;
        }
        ended = true;
        if (watcher != null) {
            watcher.stop();
        }
        return true;
    }
}
