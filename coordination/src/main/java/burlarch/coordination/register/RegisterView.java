package burlarch.coordination.register;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.util.List;

/**
 * The local view of the register: what a proposer knows of it before it sends a request. The view names the acceptors
 * to send to first, and the newest known value; a write must build on that value or a newer one. A view may be out of
 * date, which costs additional messages but never safety.
 *
 * <p>There are four kinds of view: nothing is known ({@link #NONE}); only the initial acceptors are known; only the
 * acceptors of a chosen value are known; a value is known, either chosen or only accepted by some acceptor.
 *
 * @param proposalNumber the number of the value that the view was learned from; {@link ProposalNumber#ZERO} when no
 *     value is known
 * @param value that value; null when no value is known, or only the acceptors of a chosen value
 * @param members the acceptors that the value names, as in {@link RegisterValue#members()}; the initial acceptors
 *     when no value is known; empty when no acceptor is known
 */
public record RegisterView(ProposalNumber proposalNumber, RegisterValue value, List<AcceptorMember> members) {
    /** The view that knows nothing. A proposer with this view reaches no quorum. */
    public static final RegisterView NONE = ofInitialAcceptors(List.of());

    /**
     * Returns the view that knows only the initial acceptors, those of the system's first start; they are the same on
     * all their disks.
     */
    public static RegisterView ofInitialAcceptors(List<AcceptorMember> members) {
        return new RegisterView(ProposalNumber.ZERO, null, members);
    }

    /** Returns the view that knows a value of the register, either chosen or only accepted by some acceptor. */
    public static RegisterView of(ProposalNumber proposalNumber, RegisterValue value) {
        return new RegisterView(proposalNumber, value, value.members());
    }

    /**
     * Returns the view that knows the value that an acceptor accepted last; {@link #NONE} when it has accepted
     * nothing.
     */
    public static RegisterView of(AcceptorState state) {
        return state.value() == null ? NONE : of(state.accepted(), state.value());
    }

    /** Returns the view that knows the acceptors of a chosen value, but not the value itself. */
    public static RegisterView ofChosenAcceptors(ProposalNumber proposalNumber, List<AcceptorMember> members) {
        return new RegisterView(proposalNumber, null, members);
    }

    /**
     * Returns the view with the higher proposal number. When both numbers are equal, returns the view that holds
     * more: one with acceptors over one with none, one with the value over one with its acceptors alone.
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
     * Returns whether a proposer with this view may write the register's first value when a quorum of these acceptors
     * reports that it has accepted none. Only a proposer that knows of no value may: invariant SingleFounding of
     * {@link burlarch.coordination.register.proposal.Proposal}.
     */
    public boolean mayWriteFirstValue() {
        return proposalNumber.equals(ProposalNumber.ZERO);
    }
}
