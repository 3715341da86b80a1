package burlarch.transport;

/**
 * Times and bounds of connections between nodes.
 *
 * @param pingNanos how long a connection stays quiet before a Ping is sent
 * @param silenceNanos after how long without any byte a connection is given up, since a cut says nothing
 * @param connectNanos how long an attempt to connect may take
 * @param helloNanos how long the peer may take for its Hello
 * @param leastRetryNanos first pause between attempts to connect; it doubles
 * @param mostRetryNanos longest pause between attempts to connect
 * @param maxAccepted connections that are taken from others at once
 * @param maxQueuedBytes what may wait on one connection; more closes it
 */
public record TransportSettings(
        long pingNanos,
        long silenceNanos,
        long connectNanos,
        long helloNanos,
        long leastRetryNanos,
        long mostRetryNanos,
        int maxAccepted,
        int maxQueuedBytes) {
    private static final long MILLI = 1_000_000;

    /** What holds where nothing else is said. */
    public static final TransportSettings DEFAULTS = new TransportSettings(
            500 * MILLI, 1_600 * MILLI, 700 * MILLI, 2_000 * MILLI, 100 * MILLI, 1_000 * MILLI, 2_000, 4 << 20);

    /** The same with another silence; pings are sent three times in it. */
    public TransportSettings withSilence(long nanos) {
        return new TransportSettings(
                Math.min(pingNanos, nanos / 3),
                nanos,
                connectNanos,
                helloNanos,
                leastRetryNanos,
                mostRetryNanos,
                maxAccepted,
                maxQueuedBytes);
    }
}
