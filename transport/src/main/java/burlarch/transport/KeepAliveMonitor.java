package burlarch.transport;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Pings idle connections and closes those that have received nothing for the idle timeout. One timer serves all
 * connections, and pings that are due within a short time of each other are sent together, so that many idle
 * connections cause few wake-ups.
 *
 * <p>After a pause of this process (a stopped virtual machine, a long collection) every connection appears idle
 * although received bytes may wait in its socket buffer. A sweep that runs late by more than half of the idle timeout
 * therefore grants each connection at least half of the idle timeout from then on.
 *
 * <p>Owned by the event loop.
 */
final class KeepAliveMonitor {
    /** Pings that are due within this fraction of the ping interval are sent together. */
    private static final int PING_INTERVAL_SLACK_DIVISOR = 4;

    private final SelectorEventLoop loop;
    private final TransportSettings settings;
    private final Set<TcpPeerConnection> connections = new LinkedHashSet<>();
    private EventLoop.Timer timer;
    private long sweepDueNanos;
    /** Lower bound of the time at which each connection last received bytes. */
    private long receivedFloorNanos;

    KeepAliveMonitor(SelectorEventLoop loop, TransportSettings settings) {
        this.loop = loop;
        this.settings = settings;
        receivedFloorNanos = loop.nanoTime() - settings.idleTimeoutNanos();
    }

    void add(TcpPeerConnection connection) {
        connections.add(connection);
        long nowNanos = loop.nanoTime();
        long firstPingNanos = nowNanos + settings.pingIntervalNanos();
        if (timer == null || firstPingNanos - sweepDueNanos < 0) {
            scheduleSweep(nowNanos, firstPingNanos);
        }
    }

    void remove(TcpPeerConnection connection) {
        connections.remove(connection);
        if (connections.isEmpty()) {
            cancelSweep();
        }
    }

    /** Returns the open connections, as a live view. */
    Set<TcpPeerConnection> connections() {
        return connections;
    }

    private void cancelSweep() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    private void scheduleSweep(long nowNanos, long dueNanos) {
        cancelSweep();
        sweepDueNanos = dueNanos;
        timer = loop.schedule(dueNanos - nowNanos, this::sweep);
    }

    private void sweep() {
        timer = null;
        long nowNanos = loop.nanoTime();
        if (nowNanos - sweepDueNanos > settings.idleTimeoutNanos() / 2) {
            receivedFloorNanos = nowNanos - settings.idleTimeoutNanos() / 2;
        }
        long nextSweepNanos = checkAllConnections(nowNanos);
        if (!connections.isEmpty()) {
            scheduleSweep(nowNanos, nextSweepNanos);
        }
    }

    /** Checks every connection and returns the time at which the next sweep is due. */
    private long checkAllConnections(long nowNanos) {
        long slackNanos = settings.pingIntervalNanos() / PING_INTERVAL_SLACK_DIVISOR;
        long nextSweepNanos = nowNanos + settings.pingIntervalNanos();
        // Iterates over a copy, since a connection that is closed here removes itself.
        for (TcpPeerConnection connection : new ArrayList<>(connections)) {
            long dueNanos = connection.checkLiveness(nowNanos, slackNanos, receivedFloorNanos);
            if (connection.isOpen()) {
                nextSweepNanos = ConnectionLiveness.earlier(dueNanos, nextSweepNanos);
            }
        }
        return nextSweepNanos;
    }
}
