package burlarch.node.http;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * HTTP connection of a client that may misbehave. The heads and trailers of all such connections share a memory budget,
 * and each head must arrive within a time limit.
 *
 * <p>A request for which the budget has no room gets 503, and its connection is closed; its handler is not called. A
 * connection whose head is late is closed.
 *
 * <p>A connection is RESTING until a byte arrives, then RECEIVING_HEAD until the head is complete, then HANDLING until
 * the response has been written, and RESTING again. Changes are made on Jetty's threads, guarded by this.
 */
public class BoundedHttpConnection extends HttpConnection {
    private enum State {
        RESTING,
        RECEIVING_HEAD,
        HANDLING
    }

    private static final int SERVICE_UNAVAILABLE = 503;

    private final ConnectionBounds bounds;
    private State state = State.RESTING;
    /** Null unless a head has been incomplete after a read. */
    private Scheduler.Task headTimeout;
    /** Null until the first request. */
    private RequestHeadReservation reservation;

    /** Creates a connection that is resting. */
    public BoundedHttpConnection(
            HttpConfiguration configuration, Connector connector, EndPoint endPoint, ConnectionBounds bounds) {
        super(configuration, connector, endPoint);
        this.bounds = bounds;
    }

    /** Whether a request has been received and its response is not written yet. */
    final synchronized boolean isHandling() {
        return state == State.HANDLING;
    }

    @Override
    public void onFillable() {
        onBytesArrived();
        super.onFillable();
        limitHeadTime();
    }

    private synchronized void onBytesArrived() {
        if (state == State.RESTING) {
            state = State.RECEIVING_HEAD;
        }
    }

    /** A head that arrives with one read, as most do, needs no timer. */
    private synchronized void limitHeadTime() {
        if (state == State.RECEIVING_HEAD
                && headTimeout == null
                && getEndPoint().isOpen()) {
            headTimeout = getConnector()
                    .getScheduler()
                    .schedule(this::onHeadTimeout, bounds.headTimeoutMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void onHeadTimeout() {
        synchronized (this) {
            headTimeout = null;
            if (state != State.RECEIVING_HEAD) {
                return;
            }
        }
        getEndPoint().close(new TimeoutException("head of a request not complete in time"));
    }

    private synchronized void onHeadComplete() {
        state = State.HANDLING;
        cancelHeadTimeout();
    }

    private synchronized void onResponseEnded() {
        state = State.RESTING;
        cancelHeadTimeout();
    }

    private synchronized void cancelHeadTimeout() {
        if (headTimeout != null) {
            headTimeout.cancel();
            headTimeout = null;
        }
    }

    private synchronized RequestHeadReservation beginReservation() {
        releaseReservation();
        reservation = new RequestHeadReservation(bounds.headBudget());
        return reservation;
    }

    private synchronized RequestHeadReservation reservation() {
        return reservation;
    }

    private synchronized void releaseReservation() {
        if (reservation != null) {
            reservation.release();
        }
    }

    @Override
    public void onClose(Throwable cause) {
        super.onClose(cause);
        cancelHeadTimeout();
        releaseReservation();
    }

    @Override
    protected HttpStreamOverHTTP1 newHttpStream(String method, String target, HttpVersion version) {
        return new BoundedStream(method, target, version, beginReservation());
    }

    @Override
    protected RequestHandler newRequestHandler() {
        return new BoundedRequestHandler();
    }

    private static void requireRoom(boolean hasRoom) {
        if (!hasRoom) {
            throw new HttpException.RuntimeException(SERVICE_UNAVAILABLE, "no memory for more request heads");
        }
    }

    /** Counts the memory of each line before it is stored. */
    protected class BoundedRequestHandler extends RequestHandler {
        /** Creates the handler of one connection's requests. */
        protected BoundedRequestHandler() {}

        @Override
        public void startRequest(String method, String target, HttpVersion version) {
            super.startRequest(method, target, version);
            requireRoom(reservation().reserveMessage(target));
        }

        @Override
        public void parsedHeader(HttpField field) {
            requireRoom(reservation().reserveLine(field));
            super.parsedHeader(field);
        }

        @Override
        public void parsedTrailer(HttpField field) {
            requireRoom(reservation().reserveLine(field));
            super.parsedTrailer(field);
        }

        @Override
        public boolean headerComplete() {
            onHeadComplete();
            return super.headerComplete();
        }
    }

    /** Releases the memory of the head when the response has been written or has failed. */
    private final class BoundedStream extends HttpStreamOverHTTP1 {
        private final RequestHeadReservation ownReservation;

        BoundedStream(String method, String target, HttpVersion version, RequestHeadReservation ownReservation) {
            super(method, target, version);
            this.ownReservation = ownReservation;
        }

        @Override
        public void succeeded() {
            end();
            super.succeeded();
        }

        @Override
        public void failed(Throwable cause) {
            end();
            super.failed(cause);
        }

        private void end() {
            ownReservation.release();
            onResponseEnded();
        }
    }
}
