package burlarch.transport;

/**
 * When a connection was last used in each direction, and what is due from that: the next ping, and the time at which
 * the connection counts as dead. A lost peer or a network partition closes no connection by itself, so silence is the
 * only sign of it. Owned by the event loop; all times are those of {@link EventLoop#nanoTime}.
 */
final class ConnectionLiveness {
    private final TransportSettings settings;
    private final long pingIntervalNanos;
    private final long openedAtNanos;
    private long lastSentNanos;
    private long lastReceivedNanos;

    /** @param pingIntervalNanos how long the connection sends nothing before it sends a Ping */
    ConnectionLiveness(TransportSettings settings, long pingIntervalNanos, long nowNanos) {
        this.settings = settings;
        this.pingIntervalNanos = pingIntervalNanos;
        openedAtNanos = nowNanos;
        lastSentNanos = nowNanos;
        lastReceivedNanos = nowNanos;
    }

    void onSent(long nowNanos) {
        lastSentNanos = nowNanos;
    }

    void onReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    /** Returns whether the peer has been sent so little lately that it should get a response to its ping. */
    boolean isQuiet(long nowNanos) {
        return nowNanos - lastSentNanos >= settings.pingIntervalNanos() / 2;
    }

    /** Returns when a ping is due. */
    long pingDueNanos() {
        return lastSentNanos + pingIntervalNanos;
    }

    /**
     * Returns when an established connection counts as dead.
     *
     * @param receivedFloorNanos the connection counts as heard from at this time at the earliest
     */
    long idleTimeoutAtNanos(long receivedFloorNanos) {
        long lastHeardNanos = lastReceivedNanos - receivedFloorNanos > 0 ? lastReceivedNanos : receivedFloorNanos;
        return lastHeardNanos + settings.idleTimeoutNanos();
    }

    /** As {@link #idleTimeoutAtNanos}, for a connection whose peer has not said Hello yet. */
    long handshakeTimeoutAtNanos(long receivedFloorNanos) {
        return earlier(openedAtNanos + settings.handshakeTimeoutNanos(), idleTimeoutAtNanos(receivedFloorNanos));
    }

    /** Returns the earlier of two times of a clock that may overflow. */
    static long earlier(long firstNanos, long secondNanos) {
        return firstNanos - secondNanos < 0 ? firstNanos : secondNanos;
    }
}
