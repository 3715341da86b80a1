package burlarch.proxy;

import burlarch.proxy.ownload.LoadGate;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Request handler of the plain port: passes each client request to the request table as one request. */
final class SingleRequestHandler implements RequestHandler {
    private final RequestReader reader;
    private final RequestTable table;
    /** Sheds requests when the proxy itself is overloaded; null if that feature is disabled. */
    private final LoadGate loadGate;

    SingleRequestHandler(RequestReader reader, RequestTable table, LoadGate loadGate) {
        this.reader = reader;
        this.table = table;
        this.loadGate = loadGate;
    }

    @Override
    public String allowedMethods() {
        return "GET, PUT";
    }

    @Override
    public Runnable handle(FullHttpRequest request, long readNanos, Reply reply) throws Rejection {
        RequestTable.ClientRequest clientRequest = reader.parse(request, readNanos);
        if (table.isOpen(clientRequest.upstream().requestId())) {
            throw new Rejection(HttpResponseStatus.CONFLICT);
        }
        if (loadGate != null && !loadGate.admits(clientRequest)) {
            reply.refused(loadGate.retryAfterNanos(), false);
            return () -> {};
        }
        if (!table.hasRoomFor(clientRequest)) {
            reply.refused(0, false);
            return () -> {};
        }
        long id = table.take(clientRequest, reply);
        return () -> table.clientDisconnected(id);
    }
}
