package burlarch.transport;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Keeps quiet connections known to be alive and gives up silent ones. One timer serves all of them, and pings
 * that are due closely together leave together, so that many quiet connections cost few wake-ups.
 */
final class KeepAliveMonitor {
    private static final int SLACKS_IN_PING = 4;

    private final SelectorEventLoop loop;
    private final TransportSettings settings;
    private final Set<TcpPeerConnection> connections = new LinkedHashSet<>();
    private SelectorEventLoop.Timer timer;
    private long timerDue;
    private long heardFloor;

    KeepAliveMonitor(SelectorEventLoop loop, TransportSettings settings) {
        this.loop = loop;
        this.settings = settings;
        heardFloor = loop.nanoTime() - settings.idleTimeoutNanos();
    }

    void add(TcpPeerConnection connection) {
        connections.add(connection);
        long now = loop.nanoTime();
        long first = now + settings.pingIntervalNanos();
        if (timer == null || first - timerDue < 0) {
            plan(now, first);
        }
    }

    void remove(TcpPeerConnection connection) {
        connections.remove(connection);
        if (connections.isEmpty()) {
            stop();
        }
    }

    Set<TcpPeerConnection> connections() {
        return connections;
    }

    private void stop() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    private void plan(long now, long due) {
        stop();
        timerDue = due;
        timer = loop.schedule(due - now, this::sweep);
    }

    private void sweep() {
        timer = null;
        long now = loop.nanoTime();
        if (now - timerDue > settings.idleTimeoutNanos() / 2) {
            // This process stood still: what was said meanwhile may not have been read yet.
            heardFloor = now - settings.idleTimeoutNanos() / 2;
        }
        long slack = settings.pingIntervalNanos() / SLACKS_IN_PING;
        long next = now + settings.pingIntervalNanos();
        for (TcpPeerConnection connection : new ArrayList<>(connections)) {
            long due = connection.keepAlive(now, slack, heardFloor);
            if (connection.isOpen() && due - next < 0) {
                next = due;
            }
        }
        if (!connections.isEmpty()) {
            plan(now, next);
        }
    }
}
