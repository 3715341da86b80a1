package burlarch.controller.state;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.state.ChangeResult.Changed;
import burlarch.controller.state.ChangeResult.Unchanged;
import burlarch.controller.state.ChangeResult.UnchangedReason;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.proposal.ChangeDecision;
import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.register.proposal.RegisterChange;
import java.util.List;
import java.util.function.Function;

/**
 * Adapter from a change of the {@link SystemState} to a change of the register's value. It decides what a proposal
 * writes after reading a value, and translates the proposal's result for the caller.
 *
 * <p><b>Invariant: results only from chosen values.</b> {@link #outcome} reports a success or a rejection only on the
 * basis of a chosen value. The values of the register form one chain along which versions increase and applied changes
 * are remembered, so neither report can be invalidated later.
 */
public final class StateChangeProposal implements RegisterChange {
    private final Function<SystemState, ChangeResult> change;

    /** @param change a pure function, such as those of {@link StateChanges} */
    public StateChangeProposal(Function<SystemState, ChangeResult> change) {
        this.change = change;
    }

    @Override
    public ChangeDecision decide(RegisterValue current) {
        ChangeResult result = change.apply(stateOf(current));
        if (result instanceof Changed changed) {
            // For the first value the proposal replaces this list by the initial acceptors.
            List<AcceptorMember> members = current == null ? List.of() : current.members();
            return new ChangeDecision.Write(new RegisterValue(members, SystemStateCodec.encode(changed.state())));
        }
        UnchangedReason reason = ((Unchanged) result).reason();
        return reason.isRejection() ? ChangeDecision.seal() : ChangeDecision.keep();
    }

    /**
     * Returns the state that contains the change, which may have been applied earlier already.
     *
     * @throws ControlException if the change is rejected, or if it is unknown whether it was applied
     */
    public SystemState outcome(ProposalResult result) {
        if (!(result instanceof ProposalResult.Chosen chosen)) {
            boolean outcomeUnknown = result instanceof ProposalResult.Unknown;
            throw new ControlException(outcomeUnknown ? ErrorKind.UNCLEAR : ErrorKind.NO_QUORUM);
        }
        SystemState state = stateOf(chosen.value());
        if (chosen.decision() instanceof ChangeDecision.Write) {
            return state;
        }
        // Nothing new was written, so the decision was based on the chosen value.
        Unchanged unchanged = (Unchanged) change.apply(state);
        if (unchanged.reason() != UnchangedReason.ALREADY_APPLIED) {
            throw unchanged.failure();
        }
        return state;
    }

    /** Decodes the state in a register value; the empty state if the value is null. */
    public static SystemState stateOf(RegisterValue value) {
        return value == null ? SystemState.EMPTY : SystemStateCodec.decode(value.payload());
    }
}
