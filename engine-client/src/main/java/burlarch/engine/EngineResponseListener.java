package burlarch.engine;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;

/**
 * Response listener of one control call: buffers the body up to a size limit and completes the future of the call with
 * the interpreted response.
 */
abstract class EngineResponseListener<T> extends BufferingResponseListener {
    /** Status given to {@link #interpret} if no complete response was received. */
    static final int NO_RESPONSE = 0;
    /** Status given to {@link #interpret} if the body exceeds the size limit. */
    static final int TOO_LARGE = -1;

    private static final byte[] EMPTY_BODY = {};

    private final CompletableFuture<T> future = new CompletableFuture<>();

    EngineResponseListener(int maxBytes) {
        super(maxBytes);
    }

    CompletableFuture<T> future() {
        return future;
    }

    /** Aborts a response with a request id: control calls have none, so it belongs to an earlier request. */
    @Override
    public void onHeaders(Response response) {
        String id = response.getHeaders().get("X-Request-Id");
        if (id != null && !id.isEmpty()) {
            response.abort(
                    new IllegalStateException("response carries a request id, so it belongs to another request"));
            return;
        }
        super.onHeaders(response);
    }

    @Override
    public void onComplete(Result result) {
        boolean complete = result.getResponseFailure() == null && result.getResponse() != null;
        int status = complete ? result.getResponse().getStatus() : failureStatus(result.getResponseFailure());
        byte[] body = complete ? getContent() : EMPTY_BODY;
        T interpreted;
        try {
            interpreted = interpret(status, body == null ? EMPTY_BODY : body);
        } catch (Exception e) {
            future.completeExceptionally(e);
            return;
        }
        future.complete(interpreted);
    }

    /** Jetty reports a body above the limit as an {@link IllegalArgumentException}. */
    private static int failureStatus(Throwable cause) {
        return cause instanceof IllegalArgumentException ? TOO_LARGE : NO_RESPONSE;
    }

    /**
     * Interprets a response.
     *
     * @param status HTTP status, or {@link #NO_RESPONSE} or {@link #TOO_LARGE} if there is no usable response
     * @param body empty if there is none
     */
    abstract T interpret(int status, byte[] body);
}
