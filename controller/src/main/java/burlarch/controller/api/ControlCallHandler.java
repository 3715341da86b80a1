package burlarch.controller.api;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Base class of Jetty handlers that respond to each request at a control address exactly once. Runs on Jetty's threads
 * and never blocks.
 */
abstract class ControlCallHandler extends Handler.Abstract.NonBlocking {
    private final PendingCalls pendingCalls = new PendingCalls();
    private volatile boolean draining;

    /** Starts draining: from now on each connection closes after its next response. */
    final void drain() {
        draining = true;
    }

    /**
     * Rejects each further call with 503.
     *
     * @return completes when the response to each call that was read before is written
     */
    final CompletableFuture<Void> endCalls() {
        draining = true;
        return pendingCalls.close();
    }

    @Override
    public final boolean handle(Request request, Response response, Callback callback) {
        boolean hasBegun = pendingCalls.begin();
        ControlExchange.Connection connectionAfterResponse =
                draining ? ControlExchange.Connection.CLOSE : ControlExchange.Connection.KEEP_OPEN;
        Callback whenWritten = hasBegun ? Callback.from(callback, pendingCalls::end) : callback;
        ControlExchange exchange = new ControlExchange(request, response, whenWritten, connectionAfterResponse);
        if (!hasBegun) {
            exchange.fail(new ControlException(ErrorKind.DRAINING));
            return true;
        }
        try {
            dispatch(request, exchange);
        } catch (RuntimeException failure) {
            exchange.fail(failure);
        }
        return true;
    }

    /**
     * Handles a request so that the exchange eventually gets a response. An exception that it throws is reported as the
     * response.
     */
    abstract void dispatch(Request request, ControlExchange exchange);
}
