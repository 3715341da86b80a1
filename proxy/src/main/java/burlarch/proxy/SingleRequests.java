package burlarch.proxy;

import burlarch.proxy.ownload.LoadGate;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The plain port: each request is one of the table's. */
final class SingleRequests implements RequestHandler {
    private final RequestReader reader;
    private final RequestTable table;
    /** Null where that is off. */
    private final LoadGate gate;

    SingleRequests(RequestReader reader, RequestTable table, LoadGate gate) {
        this.reader = reader;
        this.table = table;
        this.gate = gate;
    }

    @Override
    public String allow() {
        return "GET, PUT";
    }

    @Override
    public Runnable handle(FullHttpRequest request, long readNanos, Reply reply) throws Rejection {
        RequestTable.Arrival arrival = reader.arrival(request, readNanos);
        if (table.isOpen(arrival.upstream().requestId())) {
            throw new Rejection(HttpResponseStatus.CONFLICT);
        }
        if (gate != null && !gate.admits(arrival)) {
            reply.refused(gate.retryAfterNanos(), false);
            return () -> {};
        }
        if (!table.hasRoomFor(arrival)) {
            reply.refused(0, false);
            return () -> {};
        }
        long id = table.take(arrival, reply);
        return () -> table.gone(id);
    }
}
