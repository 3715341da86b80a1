package burlarch.coordination.membership;

/** One row of {@link MemberTable}. */
final class MemberRecord {
    MemberUpdate update;
    /** While suspected: since when. */
    long suspectedAtNanos;
    /** When it died or left. */
    long endedAtNanos;
    /** How often the claim still goes out. */
    int transmissionsLeft;

    MemberRecord(MemberUpdate claim) {
        this.update = claim;
    }

    MemberInfo info() {
        return update.info();
    }

    MemberState state() {
        return update.state();
    }

    /** Whether its news is on trouble or an objection, rather than on an arrival. */
    boolean isUrgent() {
        return update.state() != MemberState.ALIVE || update.incarnation() > 0;
    }

    String name() {
        return update.info().name();
    }
}
