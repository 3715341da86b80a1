package burlarch.controller.api;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.tinylog.Logger;

/** One call and its one answer, whichever of result, failure and time-out comes first. */
final class ControlExchange {
    private static final int OK = 200;
    private static final String JSON = "application/json";
    private static final byte[] EMPTY_OBJECT = {'{', '}'};

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final boolean last;
    private final AtomicBoolean responded = new AtomicBoolean();

    /**
     * A call that has no answer yet.
     *
     * @param last whether its connection ends with the answer
     */
    ControlExchange(Request request, Response response, Callback callback, boolean last) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.last = last;
    }

    /** Answers with what the service makes of it, bytes or nothing, or with 503 once the time is up. */
    void respondWith(CompletableFuture<?> result, long limitMillis) {
        if (result.isDone()) {
            finish(result);
            return;
        }
        Scheduler.Task limit = request.getComponents()
                .getScheduler()
                .schedule(() -> onTimeout(result), limitMillis, TimeUnit.MILLISECONDS);
        result.whenComplete((body, failure) -> {
            limit.cancel();
            finish(result);
        });
    }

    private void onTimeout(CompletableFuture<?> result) {
        fail(new ControlException(ErrorKind.UNCLEAR));
        result.cancel(false);
    }

    private void finish(CompletableFuture<?> result) {
        try {
            succeed(result.getNow(null) instanceof byte[] body ? body : EMPTY_OBJECT);
        } catch (CompletionException | CancellationException failure) {
            fail(failure);
        }
    }

    private void succeed(byte[] body) {
        if (responded.compareAndSet(false, true)) {
            write(OK, body);
        }
    }

    /** Answers with a failure: a {@link ControlException} as its kind says, all else as without a clear end. */
    void fail(Throwable failure) {
        if (!responded.compareAndSet(false, true)) {
            return;
        }
        ControlException told = asControlException(failure);
        if (told.kind().isRetryable()) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, told.kind().retryAfterSeconds());
        }
        if (leavesBodyUnread(told.kind())) {
            closeAfterwards();
        }
        write(told.kind().status(), ControlJson.error(told));
    }

    private static ControlException asControlException(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof ControlException known) {
            return known;
        }
        Logger.error(cause, "Control call failed");
        return new ControlException(ErrorKind.UNCLEAR);
    }

    private static boolean leavesBodyUnread(ErrorKind kind) {
        return switch (kind) {
            case TOO_LARGE, OVERLOADED, BROKEN_OFF -> true;
            default -> false;
        };
    }

    private void closeAfterwards() {
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }

    private void write(int status, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        if (last) {
            closeAfterwards();
        }
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
