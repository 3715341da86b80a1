package burlarch.coordination.membership;

/**
 * Times (nanoseconds) and bounds of {@link Swim}.
 *
 * @param probePeriod between two probes of one member
 * @param probeTimeout how long a direct probe waits before others are asked to probe too
 * @param indirectProbes how many others are asked
 * @param suspicionPeriods a suspected member may object for this many periods, times log10(members + 1)
 * @param gossipFactor each news item goes out this many times, times log10(members + 1), rounded up
 * @param maxDatagram largest datagram in bytes
 * @param maxMembers bound of the table, the dead ones included
 * @param forgetDead how long a dead member is kept
 * @param syncPause least time between two requests for another's whole table
 */
public record SwimSettings(
        long probePeriod,
        long probeTimeout,
        int indirectProbes,
        double suspicionPeriods,
        int gossipFactor,
        int maxDatagram,
        int maxMembers,
        long forgetDead,
        long syncPause) {
    private static final long MILLISECOND = 1_000_000L;
    private static final int LEAST_DATAGRAM = 600;

    public SwimSettings {
        if (probeTimeout <= 0 || probePeriod < 2 * probeTimeout || maxDatagram < LEAST_DATAGRAM) {
            throw new IllegalArgumentException("a period holds two time-outs, a datagram 600 bytes");
        }
    }

    /** Half a second between probes; a dead member of ten is noticed after some 2.5 s. */
    public static SwimSettings defaults() {
        return new SwimSettings(
                500 * MILLISECOND,
                200 * MILLISECOND,
                3,
                3.0,
                4,
                1_200,
                4_096,
                60_000 * MILLISECOND,
                2_000 * MILLISECOND);
    }

    /** How long a suspected member of a fleet of this size may object. */
    long suspicion(int members) {
        return (long) (suspicionPeriods * probePeriod * Math.max(1, Math.log10(members + 1)));
    }

    /** How often one news item goes out in a fleet of this size. */
    int transmissions(int members) {
        return gossipFactor * (int) Math.ceil(Math.max(1, Math.log10(members + 1)));
    }
}
