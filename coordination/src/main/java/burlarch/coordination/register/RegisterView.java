package burlarch.coordination.register;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.util.List;

/**
 * What a proposer knows of the register before it asks anyone: whom to ask first, and below which value
 * nothing is to be written any more.
 *
 * @param proposalNumber of the value that the rest was learned from; {@link ProposalNumber#ZERO} where none is known
 * @param value that value, chosen or only accepted; null where none is known, or only its acceptors are
 * @param members the acceptors that it names, as in {@link RegisterValue#members()}; those of the first start
 *     where no value is known; empty where nobody is known
 */
public record RegisterView(ProposalNumber proposalNumber, RegisterValue value, List<AcceptorMember> members) {
    /** Nothing is known: such a proposer reaches no quorum. */
    public static final RegisterView NONE = ofInitialAcceptors(List.of());

    /** The acceptors of the first start, alike on all their disks. */
    public static RegisterView ofInitialAcceptors(List<AcceptorMember> members) {
        return new RegisterView(ProposalNumber.ZERO, null, members);
    }

    /** A value of the register, be it chosen or not. */
    public static RegisterView of(ProposalNumber ballot, RegisterValue value) {
        return new RegisterView(ballot, value, value.members());
    }

    /** What an acceptor accepted last, or nothing. */
    public static RegisterView of(AcceptorState state) {
        return state.value() == null ? NONE : of(state.accepted(), state.value());
    }

    /** The acceptors of a chosen value that itself is not at hand. */
    public static RegisterView ofChosenAcceptors(ProposalNumber ballot, List<AcceptorMember> members) {
        return new RegisterView(ballot, null, members);
    }

    /** The one of the newer value; of two of one value, the one that has it. */
    public RegisterView newerOf(RegisterView other) {
        int order = other.proposalNumber.compareTo(proposalNumber);
        if (order != 0) {
            return order > 0 ? other : this;
        }
        boolean names = members.isEmpty() && !other.members.isEmpty();
        boolean holds = value == null && other.value != null;
        return names || holds ? other : this;
    }

    /** Whether a register that a quorum of these acceptors shows as empty may be given its first value. */
    public boolean mayWriteFirstValue() {
        return proposalNumber.equals(ProposalNumber.ZERO);
    }
}
