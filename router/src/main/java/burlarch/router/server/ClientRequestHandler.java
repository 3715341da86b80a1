package burlarch.router.server;

import burlarch.router.lifecycle.DrainState;
import burlarch.router.lifecycle.InFlightRequests;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Hands the requests of clients over to their exchanges, and answers the platform's readiness check. */
public final class ClientRequestHandler extends Handler.Abstract.NonBlocking {
    private static final String READY_PATH = "/burlarch/readyz";

    private final InFlightRequests requests;
    private final DrainState drain;
    private final BooleanSupplier ready;
    private final BiConsumer<Request, ClientResponse> exchanges;
    private Connector readiness;

    /**
     * A handler without a connector for readiness checks; see {@link #readinessOn}.
     *
     * @param ready whether the platform may send clients to this router
     * @param exchanges starts the exchange of one request; must not block
     */
    public ClientRequestHandler(
            InFlightRequests requests,
            DrainState drain,
            BooleanSupplier ready,
            BiConsumer<Request, ClientResponse> exchanges) {
        this.requests = requests;
        this.drain = drain;
        this.ready = ready;
        this.exchanges = exchanges;
    }

    /** Requests on that connector are readiness checks. To be called before the server starts. */
    public void readinessOn(Connector connector) {
        readiness = connector;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (request.getConnectionMetaData().getConnector() == readiness) {
            response.setStatus(readinessStatus(request));
            response.write(true, BufferUtil.EMPTY_BUFFER, callback);
            return true;
        }
        exchanges.accept(request, new ClientResponse(request, response, callback, requests, drain));
        return true;
    }

    private int readinessStatus(Request request) {
        if (!READY_PATH.equals(request.getHttpURI().getPath())) {
            return 404;
        }
        return ready.getAsBoolean() ? 200 : 503;
    }
}
