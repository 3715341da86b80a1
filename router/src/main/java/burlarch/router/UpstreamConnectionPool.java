package burlarch.router;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

/** Connections at rest, by address. The one used last goes first, so that the others run out of time. */
final class UpstreamConnectionPool {
    /** More connections than this do not rest at one address. */
    private static final int MOST_AT_REST = 256;

    private record Resting(UpstreamConnection connection, long untilNanos) {}

    private final Executor executor;
    private final Map<String, ArrayDeque<Resting>> byAddress = new HashMap<>();
    private boolean closed;

    UpstreamConnectionPool(Executor executor) {
        this.executor = executor;
    }

    Executor executor() {
        return executor;
    }

    /** A connection that may still be used, or null. */
    UpstreamConnection take(String address, long nowNanos) {
        List<UpstreamConnection> expired = new ArrayList<>(0);
        UpstreamConnection taken = take(address, nowNanos, expired);
        expired.forEach(UpstreamConnection::closeIfIdle);
        return taken;
    }

    private synchronized UpstreamConnection take(String address, long nowNanos, List<UpstreamConnection> expired) {
        ArrayDeque<Resting> stack = byAddress.get(address);
        while (stack != null && !stack.isEmpty()) {
            Resting resting = stack.pop();
            if (resting.untilNanos() - nowNanos > 0) {
                return resting.connection();
            }
            expired.add(resting.connection());
        }
        return null;
    }

    void resting(UpstreamConnection connection) {
        long until = System.nanoTime() + connection.keepAlive().restMillis() * 1_000_000;
        synchronized (this) {
            ArrayDeque<Resting> stack = byAddress.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
            if (!closed && stack.size() < MOST_AT_REST) {
                stack.push(new Resting(connection, until));
                return;
            }
        }
        connection.closeIfIdle();
    }

    synchronized void closed(UpstreamConnection connection) {
        ArrayDeque<Resting> stack = byAddress.get(connection.address());
        if (stack != null) {
            stack.removeIf(resting -> resting.connection() == connection);
        }
    }

    /** Closes what has rested for too long. */
    void sweep(long nowNanos) {
        removeExpired(nowNanos).forEach(UpstreamConnection::closeIfIdle);
    }

    private synchronized List<UpstreamConnection> removeExpired(long nowNanos) {
        List<UpstreamConnection> expired = new ArrayList<>(0);
        for (Iterator<ArrayDeque<Resting>> all = byAddress.values().iterator(); all.hasNext(); ) {
            ArrayDeque<Resting> stack = all.next();
            for (Iterator<Resting> each = stack.iterator(); each.hasNext(); ) {
                Resting resting = each.next();
                if (resting.untilNanos() - nowNanos <= 0) {
                    expired.add(resting.connection());
                    each.remove();
                }
            }
            if (stack.isEmpty()) {
                all.remove();
            }
        }
        return expired;
    }

    /** Closes all that rest, and from now on each that comes to rest. */
    void close() {
        List<UpstreamConnection> all = new ArrayList<>();
        synchronized (this) {
            closed = true;
            byAddress.values().forEach(stack -> stack.forEach(resting -> all.add(resting.connection())));
            byAddress.clear();
        }
        all.forEach(UpstreamConnection::closeIfIdle);
    }
}
