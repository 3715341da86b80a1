package burlarch.controller.api;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Base class of Jetty handlers that respond to each request at a control address exactly once. Runs on Jetty's threads
 * and never blocks.
 */
abstract class ControlCallHandler extends Handler.Abstract.NonBlocking {
    private volatile boolean draining;

    /** Starts draining: from now on each connection closes after its next response. */
    final void drain() {
        draining = true;
    }

    @Override
    public final boolean handle(Request request, Response response, Callback callback) {
        ControlExchange.Connection connectionAfterResponse =
                draining ? ControlExchange.Connection.CLOSE : ControlExchange.Connection.KEEP_OPEN;
        ControlExchange exchange = new ControlExchange(request, response, callback, connectionAfterResponse);
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
