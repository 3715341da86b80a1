package burlarch.transport;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Pings idle connections and closes those whose peer is silent. One timer serves all connections, and pings that are
 * due within a short time of each other leave together, so that many idle connections cost few wake-ups.
 *
 * <p>After a pause of this process (a stopped virtual machine, a long collection) every connection looks silent
 * although its bytes may wait in the socket. A sweep that runs much too late therefore grants each connection half of
 * the idle time-out from now on.
 *
 * <p>Owned by the event loop.
 */
final class KeepAliveMonitor {
    /** Pings that are due within this part of the ping interval leave together. */
    private static final int SLACKS_PER_PING_INTERVAL = 4;

    private final SelectorEventLoop loop;
    private final TransportSettings settings;
    private final Set<TcpPeerConnection> connections = new LinkedHashSet<>();
    private EventLoop.Timer timer;
    private long sweepDueNanos;
    /** Every connection counts as heard from at this time at the earliest. */
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

    /** Returns the connections that are open, as a live view. */
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
        long nextNanos = checkAll(nowNanos);
        if (!connections.isEmpty()) {
            scheduleSweep(nowNanos, nextNanos);
        }
    }

    /** Returns when the next sweep is due. */
    private long checkAll(long nowNanos) {
        long slackNanos = settings.pingIntervalNanos() / SLACKS_PER_PING_INTERVAL;
        long nextNanos = nowNanos + settings.pingIntervalNanos();
        // A copy, as a connection that is closed here removes itself.
        for (TcpPeerConnection connection : new ArrayList<>(connections)) {
            long dueNanos = connection.checkLiveness(nowNanos, slackNanos, receivedFloorNanos);
            if (connection.isOpen()) {
                nextNanos = ConnectionLiveness.earlier(dueNanos, nextNanos);
            }
        }
        return nextNanos;
    }
}
