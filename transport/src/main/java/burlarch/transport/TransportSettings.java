package burlarch.transport;

/**
 * Times and bounds of connections between nodes.
 *
 * @param pingIntervalNanos how long a connection stays quiet before a Ping is sent
 * @param idleTimeoutNanos after how long without any byte a connection is given up, since a cut says nothing
 * @param connectTimeoutNanos how long an attempt to connect may take
 * @param handshakeTimeoutNanos how long the peer may take for its Hello
 * @param minBackoffNanos first pause between attempts to connect; it doubles
 * @param maxBackoffNanos longest pause between attempts to connect
 * @param maxInboundConnections connections that are taken from others at once
 * @param maxQueuedBytes what may wait on one connection; more closes it
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

    /** What holds where nothing else is said. */
    public static final TransportSettings DEFAULTS = new TransportSettings(
            500 * MILLI, 1_600 * MILLI, 700 * MILLI, 2_000 * MILLI, 100 * MILLI, 1_000 * MILLI, 2_000, 4 << 20);

    /** The same with another silence; pings are sent three times in it. */
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
