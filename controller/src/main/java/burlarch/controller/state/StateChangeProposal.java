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
 * A change of the state as a change of the register: the function that a proposal applies to each value that it reads,
 * and the meaning of the proposal's result for the caller.
 *
 * <p><b>Invariant: results only from chosen values.</b> {@link #outcome} reports a success or a rejection only on the
 * grounds of a value that is chosen. The values of the register form one chain along which versions increase and
 * applied changes are remembered, so neither report can become wrong later.
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
            // The proposal fills in the acceptors of the first value, whatever is given here.
            List<AcceptorMember> members = current == null ? List.of() : current.members();
            return new ChangeDecision.Write(new RegisterValue(members, SystemStateCodec.encode(changed.state())));
        }
        UnchangedReason reason = ((Unchanged) result).reason();
        return reason.isRejection() ? ChangeDecision.seal() : ChangeDecision.keep();
    }

    /**
     * The state that holds the change, also if it was applied before.
     *
     * @throws ControlException if the change is rejected, or if it is unclear whether it is applied
     */
    public SystemState outcome(ProposalResult result) {
        if (!(result instanceof ProposalResult.Chosen chosen)) {
            boolean unclear = result instanceof ProposalResult.Unknown;
            throw new ControlException(unclear ? ErrorKind.UNCLEAR : ErrorKind.NO_QUORUM);
        }
        SystemState state = stateOf(chosen.value());
        if (chosen.decision() instanceof ChangeDecision.Write) {
            return state;
        }
        // Nothing was written, so the chosen value is the one that the decision was made on.
        Unchanged unchanged = (Unchanged) change.apply(state);
        if (unchanged.reason() != UnchangedReason.ALREADY_APPLIED) {
            throw unchanged.failure();
        }
        return state;
    }

    /** The state in a value of the register; the empty state if there is no value. */
    public static SystemState stateOf(RegisterValue value) {
        return value == null ? SystemState.EMPTY : SystemStateCodec.decode(value.payload());
    }
}
