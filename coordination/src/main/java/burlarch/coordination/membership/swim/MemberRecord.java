package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.MemberUpdate;

/**
 * An entry of a {@link MemberTable}, or the member's own entry in a {@link MembershipView}. Mutable: the table
 * changes the update and the times, {@link GossipQueue} the number of transmissions.
 */
final class MemberRecord {
    /** The newest known update. */
    MemberUpdate update;
    /** When the member became SUSPECT; valid in that state only. */
    long suspectedAtNanos;
    /** When the member became DEAD or LEFT; valid in those states only. */
    long endedAtNanos;
    /** Number of times that the update is still to be sent as gossip. */
    int transmissionsLeft;

    MemberRecord(MemberUpdate update) {
        this.update = update;
    }

    MemberInfo info() {
        return update.info();
    }

    MemberState state() {
        return update.state();
    }

    String name() {
        return update.info().name();
    }

    /** Returns whether the update reports a failure or a refutation; a mere arrival is less urgent. */
    boolean isUrgent() {
        return update.state() != MemberState.ALIVE || update.incarnation() > 0;
    }
}
