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

/**
 * One HTTP exchange of the control API: a request and its response.
 *
 * <p>Result, failure and timeout may occur on different threads. Invariant <em>one response</em>: the first of them
 * writes the response, the others have no effect.
 */
final class ControlExchange {
    private static final int OK = 200;
    /** HTTP 307: the caller repeats the request at another address, with the same method and body. */
    private static final int TEMPORARY_REDIRECT = 307;

    private static final String JSON = "application/json";
    private static final byte[] EMPTY_OBJECT = {'{', '}'};

    /** Treatment of the connection after the response. */
    enum Connection {
        KEEP_OPEN,
        CLOSE
    }

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final Connection connectionAfterResponse;
    private final AtomicBoolean responded = new AtomicBoolean();

    /** Creates an exchange that has no response yet. */
    ControlExchange(Request request, Response response, Callback callback, Connection connectionAfterResponse) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.connectionAfterResponse = connectionAfterResponse;
    }

    /**
     * Responds with the service's result once it completes: its bytes, or an empty JSON object if it has none. After
     * the timeout it responds with 503 and cancels the result.
     */
    void respondWith(CompletableFuture<?> result, long timeoutMillis) {
        if (result.isDone()) {
            respond(result);
            return;
        }
        Scheduler.Task timeout = request.getComponents()
                .getScheduler()
                .schedule(() -> onTimeout(result), timeoutMillis, TimeUnit.MILLISECONDS);
        result.whenComplete((body, failure) -> {
            timeout.cancel();
            respond(result);
        });
    }

    private void onTimeout(CompletableFuture<?> result) {
        fail(new ControlException(ErrorKind.UNCLEAR));
        result.cancel(false);
    }

    private void respond(CompletableFuture<?> result) {
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

    /**
     * Redirects the caller to the same call at another address.
     *
     * @param location absolute URL
     */
    void redirect(String location) {
        if (responded.compareAndSet(false, true)) {
            response.getHeaders().put(HttpHeader.LOCATION, location);
            write(TEMPORARY_REDIRECT, EMPTY_OBJECT);
        }
    }

    /** Responds with a failure: a {@link ControlException} by its kind, anything else as {@link ErrorKind#UNCLEAR}. */
    void fail(Throwable failure) {
        if (!responded.compareAndSet(false, true)) {
            return;
        }
        ControlException reported = asControlException(failure);
        if (reported.kind().isRetryable()) {
            response.getHeaders().put(HttpHeader.RETRY_AFTER, reported.kind().retryAfterSeconds());
        }
        if (leavesBodyUnread(reported.kind())) {
            closeConnection();
        }
        write(reported.kind().status(), ControlJson.error(reported));
    }

    private static ControlException asControlException(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof ControlException controlException) {
            return controlException;
        }
        Logger.error(cause, "control call failed unexpectedly");
        return new ControlException(ErrorKind.UNCLEAR);
    }

    /**
     * Whether a failure of this kind may leave part of the request's body unread; the connection can't be reused then.
     */
    private static boolean leavesBodyUnread(ErrorKind kind) {
        return switch (kind) {
            case TOO_LARGE, OVERLOADED, BROKEN_OFF -> true;
            default -> false;
        };
    }

    private void closeConnection() {
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }

    private void write(int status, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        if (connectionAfterResponse == Connection.CLOSE) {
            closeConnection();
        }
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
