package burlarch.router.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

/**
 * Pool of idle connections to instances, by address. The connection used last is taken first, so that the others
 * expire: after the timeout that the instance announced, or earlier after the one that {@link LearnedIdleTimeouts} has
 * learned. May be called on any thread; guarded by this. Connections are closed outside of the monitor.
 */
final class UpstreamConnectionPool {
    /** Maximum number of idle connections to one address. */
    private static final int MAX_IDLE_PER_ADDRESS = 256;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private record IdleConnection(UpstreamConnection connection, long idleSinceNanos, long expiresNanos) {
        boolean hasExpired(long nowNanos) {
            return expiresNanos - nowNanos <= 0;
        }

        long idleNanos(long nowNanos) {
            return nowNanos - idleSinceNanos;
        }
    }

    private final Executor executor;
    private final Runnable onIdle;
    private final Map<String, ArrayDeque<IdleConnection>> idleByAddress = new HashMap<>();
    private final LearnedIdleTimeouts idleTimeouts = new LearnedIdleTimeouts();
    private boolean closed;

    /**
     * Creates an empty pool.
     *
     * @param onIdle called after a connection has become idle, on the thread of that connection
     */
    UpstreamConnectionPool(Executor executor, Runnable onIdle) {
        this.executor = executor;
        this.onIdle = onIdle;
    }

    Executor executor() {
        return executor;
    }

    /**
     * Takes a connection for a call out of the pool: one that has not expired and has not carried the call's request
     * before. Closes expired ones.
     *
     * @return null if there is none
     */
    UpstreamConnection take(UpstreamCall call, long nowNanos) {
        List<UpstreamConnection> expired = new ArrayList<>(0);
        UpstreamConnection taken = take(call, nowNanos, expired);
        expired.forEach(UpstreamConnection::closeIfIdle);
        return taken;
    }

    private synchronized UpstreamConnection take(UpstreamCall call, long nowNanos, List<UpstreamConnection> expired) {
        ArrayDeque<IdleConnection> stack = idleByAddress.get(call.address());
        if (stack == null) {
            return null;
        }
        long limitNanos = idleTimeouts.limitNanos(call.address(), nowNanos);
        for (Iterator<IdleConnection> connections = stack.iterator(); connections.hasNext(); ) {
            IdleConnection idle = connections.next();
            if (idle.hasExpired(nowNanos) || idle.idleNanos(nowNanos) >= limitNanos) {
                expired.add(idle.connection());
                connections.remove();
            } else if (!call.wasSentOver(idle.connection())) {
                idle.connection().onTakenFromPool(idle.idleNanos(nowNanos));
                connections.remove();
                return idle.connection();
            }
        }
        return null;
    }

    /** Adds a connection that has become idle, or closes it if the pool is full or closed. */
    void onIdle(UpstreamConnection connection) {
        long nowNanos = System.nanoTime();
        long expiresNanos = nowNanos + connection.keepAlive().idleMillis() * NANOS_PER_MILLI;
        if (keep(new IdleConnection(connection, nowNanos, expiresNanos))) {
            onIdle.run();
        } else {
            connection.closeIfIdle();
        }
    }

    private synchronized boolean keep(IdleConnection idle) {
        ArrayDeque<IdleConnection> stack =
                idleByAddress.computeIfAbsent(idle.connection().address(), a -> new ArrayDeque<>());
        if (closed || stack.size() >= MAX_IDLE_PER_ADDRESS) {
            return false;
        }
        stack.push(idle);
        return true;
    }

    /** Removes a connection that has closed. If it was idle in the pool, its peer has closed it. */
    synchronized void onClosed(UpstreamConnection connection) {
        ArrayDeque<IdleConnection> stack = idleByAddress.get(connection.address());
        long nowNanos = System.nanoTime();
        if (stack != null) {
            stack.removeIf(idle -> {
                boolean isClosed = idle.connection() == connection;
                if (isClosed) {
                    onClosedByPeer(connection, idle.idleNanos(nowNanos));
                }
                return isClosed;
            });
        }
    }

    /**
     * Called when the peer closed a connection before a request was sent on it, or instead of responding.
     *
     * @param idleNanos how long the connection had been idle before the request
     */
    void onClosedByPeer(UpstreamConnection connection, long idleNanos) {
        idleTimeouts.onClosedByPeer(connection.address(), idleNanos, System.nanoTime());
    }

    /** Closes the connections whose announced idle timeout has expired. Returns whether any idle ones remain. */
    boolean closeExpired(long nowNanos) {
        removeExpired(nowNanos).forEach(UpstreamConnection::closeIfIdle);
        return hasIdle();
    }

    private synchronized boolean hasIdle() {
        return !idleByAddress.isEmpty();
    }

    private synchronized List<UpstreamConnection> removeExpired(long nowNanos) {
        List<UpstreamConnection> expired = new ArrayList<>(0);
        for (Iterator<ArrayDeque<IdleConnection>> stacks =
                        idleByAddress.values().iterator();
                stacks.hasNext(); ) {
            ArrayDeque<IdleConnection> stack = stacks.next();
            for (Iterator<IdleConnection> idleConnections = stack.iterator(); idleConnections.hasNext(); ) {
                IdleConnection idle = idleConnections.next();
                if (idle.hasExpired(nowNanos)) {
                    expired.add(idle.connection());
                    idleConnections.remove();
                }
            }
            if (stack.isEmpty()) {
                stacks.remove();
            }
        }
        return expired;
    }

    /** Closes all idle connections, and from now on each connection that becomes idle. */
    void close() {
        List<UpstreamConnection> idle = new ArrayList<>();
        synchronized (this) {
            closed = true;
            idleByAddress.values().forEach(stack -> stack.forEach(entry -> idle.add(entry.connection())));
            idleByAddress.clear();
        }
        idle.forEach(UpstreamConnection::closeIfIdle);
    }
}
