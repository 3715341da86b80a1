package burlarch.router.upstream;

import java.util.ArrayList;
import java.util.List;

/**
 * Connections over which one request was sent. Invariant <em>one send per connection</em>: a connection carries a
 * request at most once. All sends of a request have the same id, and an instance may send a response a second time;
 * on the same connection, a surplus response to an earlier send could not be told from the response to a later one. May
 * be called on any thread; guarded by this.
 */
public final class RequestConnections {
    private final List<UpstreamConnection> used = new ArrayList<>(1);

    /** Called when the request is about to be sent over a connection. */
    synchronized void add(UpstreamConnection connection) {
        used.add(connection);
    }

    /** Whether the request was sent over the given connection. */
    synchronized boolean contains(UpstreamConnection connection) {
        return used.contains(connection);
    }
}
