package burlarch.transport;

/**
 * Timeouts and limits of connections between nodes.
 *
 * @param pingIntervalNanos time without sent frames after which the side that opened a connection sends a Ping; the
 *     other side responds, and waits twice as long before it sends its own Ping
 * @param idleTimeoutNanos time without received bytes after which a connection is closed; a failed peer or a network
 *     partition does not close a connection
 * @param connectTimeoutNanos maximum duration of an attempt to connect
 * @param handshakeTimeoutNanos maximum time until the peer's Hello
 * @param minBackoffNanos first base delay between attempts to connect; it doubles with each attempt
 * @param maxBackoffNanos maximum delay between attempts to connect
 * @param maxInboundConnections maximum number of open connections accepted from other nodes
 * @param maxQueuedBytes maximum number of bytes queued for sending on one connection; sending more closes the
 *     connection
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
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The default settings. */
    public static final TransportSettings DEFAULTS = new TransportSettings(
            500 * NANOS_PER_MILLI,
            1_600 * NANOS_PER_MILLI,
            700 * NANOS_PER_MILLI,
            2_000 * NANOS_PER_MILLI,
            100 * NANOS_PER_MILLI,
            1_000 * NANOS_PER_MILLI,
            2_000,
            4 << 20);

    /** Returns these settings with another idle timeout, and a ping interval of at most a third of it. */
    public TransportSettings withIdleTimeout(long newIdleTimeoutNanos) {
        return new TransportSettings(
                Math.min(pingIntervalNanos, newIdleTimeoutNanos / 3),
                newIdleTimeoutNanos,
                connectTimeoutNanos,
                handshakeTimeoutNanos,
                minBackoffNanos,
                maxBackoffNanos,
                maxInboundConnections,
                maxQueuedBytes);
    }
}
