package burlarch.coordination.register.proposal;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
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
 * Phase one of one ballot: who promised, and the newest value among what they accepted and what was known
 * before.
 *
 * <p>The set whose quorum counts is the one that the newest value names; the believed set only until a value
 * was seen.
 */
final class PrepareTally {
    private final Map<String, ProposalNumber> acceptedBy = new HashMap<>();
    private final boolean mayFound;
    private AcceptorSet set;
    private ProposalNumber highest;
    private RegisterValue value;

    PrepareTally(RegisterView belief) {
        mayFound = belief.mayWriteFirstValue();
        set = AcceptorSet.of(belief.members());
        value = belief.value();
        highest = value == null ? ProposalNumber.ZERO : belief.proposalNumber();
    }

    /** Counts a granted promise. */
    void grant(RegisterMessage.PrepareResponse promise) {
        acceptedBy.put(promise.storageId(), promise.accepted());
        if (promise.accepted().compareTo(highest) > 0) {
            highest = promise.accepted();
            value = promise.value();
            set = AcceptorSet.of(value.members());
        }
    }

    AcceptorSet set() {
        return set;
    }

    ProposalNumber highest() {
        return highest;
    }

    RegisterValue value() {
        return value;
    }

    boolean answered(String storage) {
        return acceptedBy.containsKey(storage);
    }

    /** Whether a quorum promised and the value to go on from is known, or known to be none yet. */
    boolean isComplete() {
        return (value != null || mayFound) && set.hasQuorum(acceptedBy.keySet());
    }

    /** Whether a quorum of another set has promised as well. */
    boolean cover(AcceptorSet other) {
        return other.hasQuorum(acceptedBy.keySet());
    }

    /** Whether all these promised. */
    boolean answeredAll(List<AcceptorMember> members) {
        return members.stream().allMatch(member -> answered(member.storageId()));
    }

    /** Whether all these promised, and told that they hold the newest value. */
    boolean heldByAll(List<AcceptorMember> members) {
        return members.stream().allMatch(member -> highest.equals(acceptedBy.get(member.storageId())));
    }

    /** Whether the newest value is known to be chosen, as a quorum reported that very ballot. */
    boolean isConfirmed() {
        Set<String> holders = new HashSet<>();
        for (Map.Entry<String, ProposalNumber> entry : acceptedBy.entrySet()) {
            if (entry.getValue().equals(highest)) {
                holders.add(entry.getKey());
            }
        }
        return value != null && set.hasQuorum(holders);
    }
}
