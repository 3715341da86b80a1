package burlarch.router;

import java.util.function.BooleanSupplier;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Takes the requests of clients, and at the other address the platform's question whether to send any. */
final class ClientRequestHandler extends Handler.Abstract.NonBlocking {
    private static final String READY_PATH = "/burlarch/readyz";

    private final ForwardingContext context;
    private final BooleanSupplier ready;
    private Connector readiness;

    ClientRequestHandler(ForwardingContext context, BooleanSupplier ready) {
        this.context = context;
        this.ready = ready;
    }

    void readinessAt(Connector connector) {
        readiness = connector;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (request.getConnectionMetaData().getConnector() == readiness) {
            response.setStatus(readinessStatus(request));
            response.write(true, BufferUtil.EMPTY_BUFFER, callback);
            return true;
        }
        new Exchange(context, request, new ClientResponse(request, response, callback, context)).start();
        return true;
    }

    private int readinessStatus(Request request) {
        if (!READY_PATH.equals(request.getHttpURI().getPath())) {
            return 404;
        }
        return ready.getAsBoolean() ? 200 : 503;
    }
}
