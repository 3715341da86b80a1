package burlarch.coordination.membership;

/**
 * Times (nanoseconds) and bounds of {@link Swim}.
 *
 * @param probePeriodNanos between two probes of one member
 * @param probeTimeoutNanos how long a direct probe waits before others are asked to probe too
 * @param indirectProbeCount how many others are asked
 * @param suspicionMultiplier a suspected member may object for this many periods, times log10(members + 1)
 * @param retransmitMultiplier each news item goes out this many times, times log10(members + 1), rounded up
 * @param maxDatagramBytes largest datagram in bytes
 * @param maxMembers bound of the table, the dead ones included
 * @param deadRetentionNanos how long a dead member is kept
 * @param minSyncIntervalNanos least time between two requests for another's whole table
 */
public record SwimSettings(
        long probePeriodNanos,
        long probeTimeoutNanos,
        int indirectProbeCount,
        double suspicionMultiplier,
        int retransmitMultiplier,
        int maxDatagramBytes,
        int maxMembers,
        long deadRetentionNanos,
        long minSyncIntervalNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MIN_DATAGRAM_BYTES = 600;

    public SwimSettings {
        if (probeTimeoutNanos <= 0
                || probePeriodNanos < 2 * probeTimeoutNanos
                || maxDatagramBytes < MIN_DATAGRAM_BYTES) {
            throw new IllegalArgumentException("a period holds two time-outs, a datagram 600 bytes");
        }
    }

    /** Half a second between probes; a dead member of ten is noticed after some 2.5 s. */
    public static SwimSettings defaults() {
        return new SwimSettings(
                500 * NANOS_PER_MILLI,
                200 * NANOS_PER_MILLI,
                3,
                3.0,
                4,
                1_200,
                4_096,
                60_000 * NANOS_PER_MILLI,
                2_000 * NANOS_PER_MILLI);
    }

    /** How long a suspected member of a fleet of this size may object. */
    long suspicionTimeoutNanos(int members) {
        return (long) (suspicionMultiplier * probePeriodNanos * Math.max(1, Math.log10(members + 1)));
    }

    /** How often one news item goes out in a fleet of this size. */
    int transmitLimit(int members) {
        return retransmitMultiplier * (int) Math.ceil(Math.max(1, Math.log10(members + 1)));
    }
}
