package burlarch.coordination.membership.swim;

/**
 * Durations and bounds of {@link Swim}.
 *
 * @param probePeriodNanos time between the beginnings of two probes of one member
 * @param probeTimeoutNanos how long a direct probe waits before other members are asked to probe too
 * @param indirectProbeCount number of members that are asked
 * @param suspicionMultiplier the suspicion time-out is this many periods, times log10(members + 1)
 * @param retransmitMultiplier each update is sent this many times, times log10(members + 1), rounded up
 * @param maxDatagramBytes largest size of a datagram
 * @param maxMembers largest number of members in the table, ended ones included
 * @param deadRetentionNanos how long a DEAD or LEFT member stays in the table
 * @param minSyncIntervalNanos shortest time between two requests for another member's whole table
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

    /**
     * @throws IllegalArgumentException if the time-out is not positive, a period is shorter than two time-outs, or
     *     datagrams are too small
     */
    public SwimSettings {
        if (probeTimeoutNanos <= 0
                || probePeriodNanos < 2 * probeTimeoutNanos
                || maxDatagramBytes < MIN_DATAGRAM_BYTES) {
            throw new IllegalArgumentException(
                    "SWIM settings invalid: expected a period of two time-outs or more, datagrams from 600 bytes");
        }
    }

    /**
     * Returns the default settings: half a second between probes; in a group of ten, all members mark a failed one as
     * DEAD after about 2.5 s.
     */
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

    /** Returns the suspicion time-out, within which a suspect may refute, in a group of this size. */
    long suspicionTimeoutNanos(int members) {
        return (long) (suspicionMultiplier * probePeriodNanos * Math.max(1, Math.log10(members + 1)));
    }

    /** Returns the number of times that an update is sent as gossip in a group of this size. */
    int transmitLimit(int members) {
        return retransmitMultiplier * (int) Math.ceil(Math.max(1, Math.log10(members + 1)));
    }
}
