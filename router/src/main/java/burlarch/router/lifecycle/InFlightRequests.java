package burlarch.router.lifecycle;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * Set of the client connections with a request in flight. A request is in flight from the receipt of its head until
 * the last byte of its response is written. A connection carries one request at a time, so the set is bounded by the
 * number of connections. May be called on any thread; guarded by this.
 *
 * <p>Invariant <em>nothing is forwarded after the end</em>: once the set is closed, {@link #isClosed} is true for each
 * request that begins, and no such request may be forwarded. If it was closed by {@link #closeIfEmpty}, each request
 * that was forwarded has its complete response.
 */
public final class InFlightRequests {
    private final Set<EndPoint> inFlight = new HashSet<>();
    private boolean closed;

    /** Called when the head of a request has been received. */
    public synchronized void begin(EndPoint endPoint) {
        inFlight.add(endPoint);
    }

    /** Called when the response is written or its connection is closed. */
    public synchronized void end(EndPoint endPoint) {
        inFlight.remove(endPoint);
    }

    /** Number of requests without a complete response. */
    public synchronized int count() {
        return inFlight.size();
    }

    /** Closes the set if no request is in flight. Returns whether it is closed. */
    synchronized boolean closeIfEmpty() {
        closed |= inFlight.isEmpty();
        return closed;
    }

    /** Closes the set even if requests are in flight. */
    synchronized void close() {
        closed = true;
    }

    /** Whether no request may be forwarded any more. */
    synchronized boolean isClosed() {
        return closed;
    }

    /**
     * Closes the connections that are idle between two requests. A new connection may still send its first request.
     * A request that arrives at the same moment on a connection being closed finds the connection closed when it
     * begins.
     */
    synchronized void closeIdleConnections(Collection<EndPoint> connected) {
        for (EndPoint endPoint : connected) {
            if (!inFlight.contains(endPoint) && isIdleBetweenRequests(endPoint)) {
                endPoint.close();
            }
        }
    }

    /** Whether the connection has carried a request and no byte of a further one has been read. */
    private static boolean isIdleBetweenRequests(EndPoint endPoint) {
        Connection connection = endPoint.getConnection();
        return connection != null && connection.getMessagesIn() > 0 && endPoint.isFillInterested();
    }
}
