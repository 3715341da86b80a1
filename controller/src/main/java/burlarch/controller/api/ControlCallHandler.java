package burlarch.controller.api;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Responds to each request at a control address exactly once. Runs on Jetty's threads and never blocks. */
abstract class ControlCallHandler extends Handler.Abstract.NonBlocking {
    private volatile boolean draining;

    /** From now on each connection closes after its next response. */
    final void drain() {
        draining = true;
    }

    @Override
    public final boolean handle(Request request, Response response, Callback callback) {
        ControlExchange.Connection afterwards =
                draining ? ControlExchange.Connection.CLOSE : ControlExchange.Connection.KEEP_OPEN;
        ControlExchange exchange = new ControlExchange(request, response, callback, afterwards);
        try {
            dispatch(request, exchange);
        } catch (RuntimeException failure) {
            exchange.fail(failure);
        }
        return true;
    }

    /** Sees to it that the exchange gets its response; what it throws is the response otherwise. */
    abstract void dispatch(Request request, ControlExchange exchange);
}
