package burlarch.engine;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;

/** Collects the answer to one call, within a bound, and completes the call's future with what it means. */
abstract class EngineResponseListener<T> extends BufferingResponseListener {
    /** The status where no whole answer came. */
    static final int NONE = 0;
    /** The status where the answer was larger than the bound. */
    static final int TOO_LARGE = -1;

    private static final byte[] EMPTY = {};

    private final CompletableFuture<T> future = new CompletableFuture<>();

    EngineResponseListener(int maximumBytes) {
        super(maximumBytes);
    }

    CompletableFuture<T> future() {
        return future;
    }

    /** These calls carry no request id: an answer with one is a late surplus to a request before. */
    @Override
    public void onHeaders(Response response) {
        String id = response.getHeaders().get("X-Request-Id");
        if (id != null && !id.isEmpty()) {
            response.abort(new IllegalStateException("answer to another request"));
            return;
        }
        super.onHeaders(response);
    }

    @Override
    public void onComplete(Result result) {
        boolean whole = result.getResponseFailure() == null && result.getResponse() != null;
        int status = whole ? result.getResponse().getStatus() : failure(result.getResponseFailure());
        byte[] body = whole ? getContent() : EMPTY;
        T meaning;
        try {
            meaning = meaning(status, body == null ? EMPTY : body);
        } catch (Exception e) {
            future.completeExceptionally(e);
            return;
        }
        future.complete(meaning);
    }

    private static int failure(Throwable cause) {
        return cause instanceof IllegalArgumentException ? TOO_LARGE : NONE;
    }

    /** What the answer says; {@link #NONE} or {@link #TOO_LARGE} where none could be read. */
    abstract T meaning(int status, byte[] body);
}
