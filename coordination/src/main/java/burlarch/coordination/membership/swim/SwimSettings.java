package burlarch.coordination.membership.swim;

/**
 * Times and bounds of {@link Swim}.
 *
 * @param probePeriodNanos between two probes that one member begins
 * @param probeTimeoutNanos how long a direct probe waits before other members are asked to probe too
 * @param indirectProbeCount how many members are asked
 * @param suspicionMultiplier the suspicion time-out is this many periods, times log10(members + 1)
 * @param retransmitMultiplier each update is sent this many times, times log10(members + 1), rounded up
 * @param maxDatagramBytes largest datagram
 * @param maxMembers bound of the table, the ended members included
 * @param deadRetentionNanos how long a DEAD or LEFT member stays in the table
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

    /** @throws IllegalArgumentException if a period is shorter than two time-outs, or datagrams are too small */
    public SwimSettings {
        if (probeTimeoutNanos <= 0
                || probePeriodNanos < 2 * probeTimeoutNanos
                || maxDatagramBytes < MIN_DATAGRAM_BYTES) {
            throw new IllegalArgumentException("a period holds two time-outs, a datagram 600 bytes");
        }
    }

    /** Half a second between probes; a failed member of ten is dead to all after some 2.5 s. */
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

    /** How long a suspect may refute in a fleet of this size. */
    long suspicionTimeoutNanos(int members) {
        return (long) (suspicionMultiplier * probePeriodNanos * Math.max(1, Math.log10(members + 1)));
    }

    /** How often one update is sent as gossip in a fleet of this size. */
    int transmitLimit(int members) {
        return retransmitMultiplier * (int) Math.ceil(Math.max(1, Math.log10(members + 1)));
    }
}
