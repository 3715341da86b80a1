package burlarch.coordination.register;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.util.List;

/**
 * The local view of the register: what a proposer knows of it before it sends a request. The view names the
 * acceptors to ask first, and the value below which nothing may be written any more. It may be old; that costs
 * messages, never safety.
 *
 * <p>There are four kinds of view: nothing is known ({@link #NONE}); the initial acceptors alone; the acceptors
 * of a chosen value without the value; a value, be it chosen or only accepted somewhere.
 *
 * @param proposalNumber of the value that the view was learned from; {@link ProposalNumber#ZERO} when no value
 *     is known
 * @param value that value; null when no value is known, or only the acceptors of a chosen value
 * @param members the acceptors that the value names, as in {@link RegisterValue#members()}; the initial
 *     acceptors when no value is known; empty when no acceptor is known
 */
public record RegisterView(ProposalNumber proposalNumber, RegisterValue value, List<AcceptorMember> members) {
    /** Nothing is known. A proposer with this view reaches no quorum. */
    public static final RegisterView NONE = ofInitialAcceptors(List.of());

    /** The acceptors of the system's first start, which are the same on all their disks. */
    public static RegisterView ofInitialAcceptors(List<AcceptorMember> members) {
        return new RegisterView(ProposalNumber.ZERO, null, members);
    }

    /** A value of the register, be it chosen or only accepted by some acceptor. */
    public static RegisterView of(ProposalNumber proposalNumber, RegisterValue value) {
        return new RegisterView(proposalNumber, value, value.members());
    }

    /** The value that an acceptor accepted last; {@link #NONE} when it has accepted nothing. */
    public static RegisterView of(AcceptorState state) {
        return state.value() == null ? NONE : of(state.accepted(), state.value());
    }

    /** The acceptors of a chosen value that is not available here itself. */
    public static RegisterView ofChosenAcceptors(ProposalNumber proposalNumber, List<AcceptorMember> members) {
        return new RegisterView(proposalNumber, null, members);
    }

    /**
     * Returns the view with the higher proposal number. When both numbers are equal, returns the view that
     * holds more: acceptors rather than none, the value rather than its acceptors alone.
     */
    public RegisterView newerOf(RegisterView other) {
        int order = other.proposalNumber.compareTo(proposalNumber);
        if (order != 0) {
            return order > 0 ? other : this;
        }
        boolean otherAddsMembers = members.isEmpty() && !other.members.isEmpty();
        boolean otherAddsValue = value == null && other.value != null;
        return otherAddsMembers || otherAddsValue ? other : this;
    }

    /**
     * Whether a proposer with this view may write the register's first value when a quorum of these acceptors
     * reports that it has accepted none. Only a proposer that knows of no value may: invariant SingleFounding
     * of {@link burlarch.coordination.register.proposal.Proposal}.
     */
    public boolean mayWriteFirstValue() {
        return proposalNumber.equals(ProposalNumber.ZERO);
    }
}
