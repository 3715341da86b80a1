package burlarch.transport;

/**
 * Times and bounds of connections between nodes.
 *
 * @param pingIntervalNanos how long the side that opened a connection sends nothing before it sends a Ping; the other
 *     side responds, and waits twice as long before it sends one of its own
 * @param idleTimeoutNanos how long a connection receives nothing before it is closed: a lost peer or a network
 *     partition closes none by itself
 * @param connectTimeoutNanos how long an attempt to connect may take
 * @param handshakeTimeoutNanos how long the peer may take for its Hello
 * @param minBackoffNanos first delay between attempts to connect; each next one is twice as long
 * @param maxBackoffNanos longest delay between attempts to connect
 * @param maxInboundConnections how many connections of other nodes are open at once
 * @param maxQueuedBytes how many bytes may wait to be sent on one connection; more closes it
 */
public record TransportSettings(
        long pingIntervalNanos,
        long idleTimeoutNanos,
        long connectTimeoutNanos,
        long handshakeTimeoutNanos,
        long minBackoffNanos,
        long maxBackoffNanos,
        int maxInboundConnections,
        int maxQueuedBytes) {
    private static final long MILLI = 1_000_000;

    /** What applies unless said otherwise. */
    public static final TransportSettings DEFAULTS = new TransportSettings(
            500 * MILLI, 1_600 * MILLI, 700 * MILLI, 2_000 * MILLI, 100 * MILLI, 1_000 * MILLI, 2_000, 4 << 20);

    /** Returns these settings with another idle time-out, and a ping interval of a third of it at the most. */
    public TransportSettings withIdleTimeout(long nanos) {
        return new TransportSettings(
                Math.min(pingIntervalNanos, nanos / 3),
                nanos,
                connectTimeoutNanos,
                handshakeTimeoutNanos,
                minBackoffNanos,
                maxBackoffNanos,
                maxInboundConnections,
                maxQueuedBytes);
    }
}
