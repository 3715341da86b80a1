package burlarch.router;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;

/**
 * The connections of clients on which a request is open: from its head until the last byte of its answer is
 * written. One connection carries one request at a time, so that the set is bounded by the connections.
 */
final class InFlightRequests {
    private final Set<EndPoint> open = new HashSet<>();

    /** A request's head has come. */
    synchronized void begin(EndPoint endPoint) {
        open.add(endPoint);
    }

    /** The answer is written, or its connection closed. */
    synchronized void end(EndPoint endPoint) {
        open.remove(endPoint);
    }

    /** Requests that have no whole answer yet. */
    synchronized int count() {
        return open.size();
    }

    /**
     * Closes those of the connections that rest between two requests; a new one may bring its first. A
     * request that arrives on one of them at the same moment finds its connection closed when it begins.
     */
    synchronized void closeResting(Collection<EndPoint> connected) {
        for (EndPoint endPoint : connected) {
            if (!open.contains(endPoint) && rests(endPoint)) {
                endPoint.close();
            }
        }
    }

    /** Whether a request was answered on it and no byte of a next one has been read. */
    private static boolean rests(EndPoint endPoint) {
        Connection connection = endPoint.getConnection();
        return connection != null && connection.getMessagesIn() > 0 && endPoint.isFillInterested();
    }
}
