package burlarch.node.http;

import java.nio.channels.SelectableChannel;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.util.IO;

/**
 * Limit of the connections of one connector, which makes room for new clients: while nearly as many connections are
 * open as are allowed, those that have been idle for longest are closed. A connection on which a request is being
 * handled, or that was used recently, is not closed. A connection beyond the limit is closed as soon as it is accepted.
 *
 * <p>The connector keeps accepting meanwhile. Jetty's own limits pause and resume the accepting; if that happens
 * quickly, a connector without acceptor threads loses its listening socket.
 *
 * <p>Called on Jetty's threads.
 */
public final class ConnectionCountLimit implements SelectorManager.AcceptListener {
    /** One of so many allowed connections is kept free for new clients. */
    private static final int RESERVE_DIVISOR = 8;
    /** A connection that rested for less time may be about to carry a request. */
    private static final long MIN_IDLE_MILLIS = TimeUnit.SECONDS.toMillis(2);

    private static final long EVICTION_INTERVAL_MILLIS = 500;

    /** An endpoint, and how long it had been idle at one moment: the time itself changes while endpoints are sorted. */
    private record IdleEndPoint(EndPoint endPoint, long idleMillis) {}

    private final Connector connector;
    private final int maxConnections;
    private final int evictionThreshold;
    /** The channels that were accepted and are not closed yet, as far as the connector has notified of it. */
    private final Set<SelectableChannel> open = ConcurrentHashMap.newKeySet();

    private final AtomicBoolean evicting = new AtomicBoolean();

    private ConnectionCountLimit(int maxConnections, Connector connector) {
        this.connector = connector;
        this.maxConnections = maxConnections;
        this.evictionThreshold = maxConnections - Math.max(1, maxConnections / RESERVE_DIVISOR);
    }

    /**
     * Limits the connections of a connector that has not been started.
     *
     * @param maxConnections limit of the connections that are open at any time
     */
    public static void apply(int maxConnections, Connector connector) {
        connector.addEventListener(new ConnectionCountLimit(maxConnections, connector));
    }

    @Override
    public void onAccepting(SelectableChannel channel) {
        if (open.size() >= maxConnections) {
            open.removeIf(accepted -> !accepted.isOpen());
        }
        if (open.size() >= maxConnections) {
            IO.close((AutoCloseable) channel);
            return;
        }
        open.add(channel);
        if (open.size() > evictionThreshold && evicting.compareAndSet(false, true)) {
            scheduleEviction();
        }
    }

    @Override
    public void onAcceptFailed(SelectableChannel channel, Throwable cause) {
        open.remove(channel);
    }

    @Override
    public void onClosed(SelectableChannel channel) {
        open.remove(channel);
    }

    private void scheduleEviction() {
        connector.getScheduler().schedule(this::evictExcess, EVICTION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void evictExcess() {
        longestIdle(open.size() - evictionThreshold).forEach(idle -> idle.endPoint.close());
        if (open.size() > evictionThreshold) {
            scheduleEviction();
        } else {
            evicting.set(false);
        }
    }

    private List<IdleEndPoint> longestIdle(int count) {
        return connector.getConnectedEndPoints().stream()
                .filter(ConnectionCountLimit::handlesNoRequest)
                .map(endPoint -> new IdleEndPoint(endPoint, idleMillis(endPoint)))
                .filter(idle -> idle.idleMillis >= MIN_IDLE_MILLIS)
                .sorted(Comparator.comparingLong(IdleEndPoint::idleMillis).reversed())
                .limit(Math.max(0, count))
                .toList();
    }

    private static boolean handlesNoRequest(EndPoint endPoint) {
        return endPoint.getConnection() instanceof BoundedHttpConnection connection && !connection.isHandling();
    }

    private static long idleMillis(EndPoint endPoint) {
        return endPoint instanceof AbstractEndPoint measured ? measured.getIdleFor() : 0;
    }
}
