package burlarch.engine;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;

/** Collects the response to one call, up to a limit, and completes the call's future with its meaning. */
abstract class EngineResponseListener<T> extends BufferingResponseListener {
    /** The status if no complete response was received. */
    static final int NO_RESPONSE = 0;
    /** The status if the response exceeds the limit. */
    static final int TOO_LARGE = -1;

    private static final byte[] EMPTY = {};

    private final CompletableFuture<T> future = new CompletableFuture<>();

    EngineResponseListener(int maxBytes) {
        super(maxBytes);
    }

    CompletableFuture<T> future() {
        return future;
    }

    /** These calls carry no request id: a response with one belongs to an earlier request. */
    @Override
    public void onHeaders(Response response) {
        String id = response.getHeaders().get("X-Request-Id");
        if (id != null && !id.isEmpty()) {
            response.abort(new IllegalStateException("response to another request"));
            return;
        }
        super.onHeaders(response);
    }

    @Override
    public void onComplete(Result result) {
        boolean complete = result.getResponseFailure() == null && result.getResponse() != null;
        int status = complete ? result.getResponse().getStatus() : failureStatus(result.getResponseFailure());
        byte[] body = complete ? getContent() : EMPTY;
        T meaning;
        try {
            meaning = interpret(status, body == null ? EMPTY : body);
        } catch (Exception e) {
            future.completeExceptionally(e);
            return;
        }
        future.complete(meaning);
    }

    private static int failureStatus(Throwable cause) {
        return cause instanceof IllegalArgumentException ? TOO_LARGE : NO_RESPONSE;
    }

    /** The meaning of a response; the status is {@link #NO_RESPONSE} or {@link #TOO_LARGE} if there is none. */
    abstract T interpret(int status, byte[] body);
}
