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

/** Jetty handler that starts an exchange for each client request and answers the readiness checks of the platform. */
public final class ClientRequestHandler extends Handler.Abstract.NonBlocking {
    private static final String READINESS_PATH = "/burlarch/readyz";

    private final InFlightRequests requests;
    private final DrainState drain;
    private final BooleanSupplier ready;
    private final BiConsumer<Request, ClientResponse> exchangeStarter;
    private Connector readinessConnector;

    /**
     * Creates a handler without a connector for readiness checks; see {@link #setReadinessConnector}.
     *
     * @param ready whether the platform may direct clients to this router
     * @param exchangeStarter starts the exchange of one request; must not block
     */
    public ClientRequestHandler(
            InFlightRequests requests,
            DrainState drain,
            BooleanSupplier ready,
            BiConsumer<Request, ClientResponse> exchangeStarter) {
        this.requests = requests;
        this.drain = drain;
        this.ready = ready;
        this.exchangeStarter = exchangeStarter;
    }

    /** Treats requests on the given connector as readiness checks. Must be called before the server starts. */
    public void setReadinessConnector(Connector connector) {
        readinessConnector = connector;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (request.getConnectionMetaData().getConnector() == readinessConnector) {
            response.setStatus(readinessStatus(request));
            response.write(true, BufferUtil.EMPTY_BUFFER, callback);
            return true;
        }
        exchangeStarter.accept(request, new ClientResponse(request, response, callback, requests, drain));
        return true;
    }

    private int readinessStatus(Request request) {
        if (!READINESS_PATH.equals(request.getHttpURI().getPath())) {
            return 404;
        }
        return ready.getAsBoolean() ? 200 : 503;
    }
}
