package burlarch.coordination.register.proposal;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A count of the granted accept responses to one write.
 *
 * <p>Upholds invariant ChosenByQuorum of {@link Proposal}: the write is chosen once a quorum of the set that the
 * written value names has accepted it. A copy to joining acceptors is complete only once all of them have accepted it
 * too (JoinersHoldBase).
 */
final class AcceptTally {
    private final AcceptorSet acceptors;
    private final List<AcceptorMember> joiners;
    private final Set<String> accepted = new HashSet<>();

    AcceptTally(WritePlan.Write write) {
        acceptors = write.acceptors();
        joiners = write.joiners();
    }

    /** Counts a granted response. */
    void add(String storageId) {
        accepted.add(storageId);
    }

    boolean hasResponseOf(String storageId) {
        return accepted.contains(storageId);
    }

    /** Returns whether the value is chosen and held by all acceptors that it is copied to. */
    boolean isComplete() {
        return acceptors.hasQuorum(accepted)
                && joiners.stream().allMatch(joiner -> accepted.contains(joiner.storageId()));
    }
}
