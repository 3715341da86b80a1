package burlarch.coordination.membership;

/** One row of {@link MemberTable}. */
final class MemberRecord {
    MemberClaim claim;
    /** While suspected: when it is held dead. */
    long suspectUntil;
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

    String name() {
        return claim.info().name();
    }
}
