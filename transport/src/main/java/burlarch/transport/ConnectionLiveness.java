package burlarch.transport;

/**
 * Tracks when a connection last sent and received bytes, and computes when the next ping is due and when the
 * connection times out. A failed peer or a network partition does not close the connection, so missing data is the
 * only sign of it. Owned by the event loop; all times are those of {@link EventLoop#nanoTime}.
 */
final class ConnectionLiveness {
    private final TransportSettings settings;
    private final long pingIntervalNanos;
    private final long openedAtNanos;
    private long lastSentNanos;
    private long lastReceivedNanos;

    /** @param pingIntervalNanos time without sent frames after which a Ping is sent */
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

    /**
     * Returns whether nothing was sent for at least half a ping interval, so that a received ping should be answered.
     */
    boolean shouldAnswerPing(long nowNanos) {
        return nowNanos - lastSentNanos >= settings.pingIntervalNanos() / 2;
    }

    /** Returns the time at which the next ping is due. */
    long pingDueNanos() {
        return lastSentNanos + pingIntervalNanos;
    }

    /**
     * Returns the time at which an established connection times out.
     *
     * @param receivedFloorNanos lower bound of the time at which bytes were last received
     */
    long idleTimeoutAtNanos(long receivedFloorNanos) {
        long effectiveReceivedNanos =
                lastReceivedNanos - receivedFloorNanos > 0 ? lastReceivedNanos : receivedFloorNanos;
        return effectiveReceivedNanos + settings.idleTimeoutNanos();
    }

    /** As {@link #idleTimeoutAtNanos}, for a connection whose peer has not sent its Hello yet. */
    long handshakeTimeoutAtNanos(long receivedFloorNanos) {
        return earlier(openedAtNanos + settings.handshakeTimeoutNanos(), idleTimeoutAtNanos(receivedFloorNanos));
    }

    /** Returns the earlier of two times of a clock that may overflow. */
    static long earlier(long firstNanos, long secondNanos) {
        return firstNanos - secondNanos < 0 ? firstNanos : secondNanos;
    }
}
