package burlarch.coordination.register.proposal;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage.PrepareResponse;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The granted prepare responses of one attempt, and the newest value among those reported and the one that the
 * proposer knew before.
 *
 * <p>Upholds invariant PrepareQuorum of {@link Proposal}: the quorum that counts is that of the set that the newest
 * value names. The set of the proposer's view counts only until a newer value is seen.
 */
final class PrepareTally {
    private final Map<String, ProposalNumber> acceptedByStorageId = new HashMap<>();
    private final boolean mayWriteFirstValue;
    private AcceptorSet acceptors;
    private ProposalNumber newestNumber;
    private RegisterValue newestValue;

    PrepareTally(RegisterView view) {
        mayWriteFirstValue = view.mayWriteFirstValue();
        acceptors = AcceptorSet.of(view.members());
        newestValue = view.value();
        newestNumber = newestValue == null ? ProposalNumber.ZERO : view.proposalNumber();
    }

    /**
     * Counts a granted response. A response that reports the number of a newer value without that value proves
     * nothing and does not count; no acceptor sends one to a request of this attempt.
     */
    void add(PrepareResponse response) {
        boolean isNewer = response.accepted().compareTo(newestNumber) > 0;
        if (isNewer && response.value() == null) {
            return;
        }
        acceptedByStorageId.put(response.storageId(), response.accepted());
        if (isNewer) {
            newestNumber = response.accepted();
            newestValue = response.value();
            acceptors = AcceptorSet.of(newestValue.members());
        }
    }

    /** Returns the acceptors whose quorum counts. */
    AcceptorSet acceptors() {
        return acceptors;
    }

    /** Returns the proposal number of the newest value; {@link ProposalNumber#ZERO} when no value is known. */
    ProposalNumber newestNumber() {
        return newestNumber;
    }

    /** Returns the newest value; null when no value is known. */
    RegisterValue newestValue() {
        return newestValue;
    }

    boolean hasResponseOf(String storageId) {
        return acceptedByStorageId.containsKey(storageId);
    }

    boolean hasResponsesOf(List<AcceptorMember> members) {
        return members.stream().allMatch(member -> hasResponseOf(member.storageId()));
    }

    boolean hasQuorumOf(AcceptorSet other) {
        return other.hasQuorum(acceptedByStorageId.keySet());
    }

    /** Returns whether a quorum is prepared and the value to build on is known, or is known not to exist yet. */
    boolean isComplete() {
        return (newestValue != null || mayWriteFirstValue) && hasQuorumOf(acceptors);
    }

    /** Returns whether all these acceptors have responded and reported that they hold the newest value. */
    boolean allHaveNewestValue(List<AcceptorMember> members) {
        return members.stream().allMatch(member -> newestNumber.equals(acceptedByStorageId.get(member.storageId())));
    }

    /** Returns whether the newest value is known to be chosen, because a quorum reported its proposal number. */
    boolean isNewestValueChosen() {
        Set<String> acceptedNewest = new HashSet<>();
        for (Map.Entry<String, ProposalNumber> entry : acceptedByStorageId.entrySet()) {
            if (entry.getValue().equals(newestNumber)) {
                acceptedNewest.add(entry.getKey());
            }
        }
        return newestValue != null && acceptors.hasQuorum(acceptedNewest);
    }
}
