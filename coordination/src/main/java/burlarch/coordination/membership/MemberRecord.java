package burlarch.coordination.membership;

/** One row of {@link MemberTable}. */
final class MemberRecord {
    MemberClaim claim;
    /** While suspected: since when. */
    long suspectSince;
    /** When it died or left. */
    long endedAt;
    /** How often the claim still goes out. */
    int transmissionsLeft;

    MemberRecord(MemberClaim claim) {
        this.claim = claim;
    }

    MemberInfo info() {
        return claim.info();
    }

    MemberState state() {
        return claim.state();
    }

    /** Whether its news is on trouble or an objection, rather than on an arrival. */
    boolean urgent() {
        return claim.state() != MemberState.ALIVE || claim.incarnation() > 0;
    }

    String name() {
        return claim.info().name();
    }
}
