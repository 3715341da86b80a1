package burlarch.router.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

/**
 * Idle connections to instances, by address. The one used last is taken first, so that the others expire: by what the
 * instance announced, or earlier by what {@link IdleLifetimes} has learned. May be called on any thread; guarded by
 * this. Connections are closed outside of the monitor.
 */
final class UpstreamConnectionPool {
    /** Maximum number of idle connections to one address. */
    private static final int MAX_IDLE_PER_ADDRESS = 256;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private record IdleConnection(UpstreamConnection connection, long sinceNanos, long expiresNanos) {
        boolean hasExpired(long nowNanos) {
            return expiresNanos - nowNanos <= 0;
        }

        long idleNanos(long nowNanos) {
            return nowNanos - sinceNanos;
        }
    }

    private final Executor executor;
    private final Runnable onIdle;
    private final Map<String, ArrayDeque<IdleConnection>> idleByAddress = new HashMap<>();
    private final IdleLifetimes lifetimes = new IdleLifetimes();
    private boolean closed;

    /** @param onIdle called after a connection has become idle, on its thread */
    UpstreamConnectionPool(Executor executor, Runnable onIdle) {
        this.executor = executor;
        this.onIdle = onIdle;
    }

    Executor executor() {
        return executor;
    }

    /** A connection that has not expired, or null. */
    UpstreamConnection take(String address, long nowNanos) {
        List<UpstreamConnection> expired = new ArrayList<>(0);
        UpstreamConnection taken = take(address, nowNanos, expired);
        expired.forEach(UpstreamConnection::closeIfIdle);
        return taken;
    }

    private synchronized UpstreamConnection take(String address, long nowNanos, List<UpstreamConnection> expired) {
        ArrayDeque<IdleConnection> stack = idleByAddress.get(address);
        long limitNanos = stack == null ? 0 : lifetimes.limitNanos(address, nowNanos);
        while (stack != null && !stack.isEmpty()) {
            IdleConnection idle = stack.pop();
            if (!idle.hasExpired(nowNanos) && idle.idleNanos(nowNanos) < limitNanos) {
                idle.connection().onTaken(idle.idleNanos(nowNanos));
                return idle.connection();
            }
            expired.add(idle.connection());
        }
        return null;
    }

    /** Keeps a connection that has become idle, or closes it if there are too many. */
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

    /** Removes a connection that has closed; one that is idle here was closed by its peer. */
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
     * The peer closed a connection before the request that was to be sent on it, or in place of its response.
     *
     * @param idleNanos how long the connection had been idle by then
     */
    void onClosedByPeer(UpstreamConnection connection, long idleNanos) {
        lifetimes.onClosedByPeer(connection.address(), idleNanos, System.nanoTime());
    }

    /** Closes the connections that have been idle for too long; returns whether any idle one is left. */
    boolean closeExpired(long nowNanos) {
        removeExpired(nowNanos).forEach(UpstreamConnection::closeIfIdle);
        return hasIdle();
    }

    private synchronized boolean hasIdle() {
        return !idleByAddress.isEmpty();
    }

    private synchronized List<UpstreamConnection> removeExpired(long nowNanos) {
        List<UpstreamConnection> expired = new ArrayList<>(0);
        for (Iterator<ArrayDeque<IdleConnection>> all = idleByAddress.values().iterator(); all.hasNext(); ) {
            ArrayDeque<IdleConnection> stack = all.next();
            for (Iterator<IdleConnection> each = stack.iterator(); each.hasNext(); ) {
                IdleConnection idle = each.next();
                if (idle.hasExpired(nowNanos)) {
                    expired.add(idle.connection());
                    each.remove();
                }
            }
            if (stack.isEmpty()) {
                all.remove();
            }
        }
        return expired;
    }

    /** Closes all idle connections, and from now on each one that becomes idle. */
    void close() {
        List<UpstreamConnection> idle = new ArrayList<>();
        synchronized (this) {
            closed = true;
            idleByAddress.values().forEach(stack -> stack.forEach(each -> idle.add(each.connection())));
            idleByAddress.clear();
        }
        idle.forEach(UpstreamConnection::closeIfIdle);
    }
}
