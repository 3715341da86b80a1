package burlarch.controller.state;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.state.ChangeResult.Changed;
import burlarch.controller.state.ChangeResult.Unchanged;
import burlarch.controller.state.ChangeResult.UnchangedReason;
import burlarch.coordination.register.ChangeDecision;
import burlarch.coordination.register.AcceptorMember;
import burlarch.coordination.register.ProposalResult;
import burlarch.coordination.register.RegisterChange;
import burlarch.coordination.register.RegisterValue;
import java.util.List;
import java.util.function.Function;

/**
 * A change of the state as a change of the register: the step that a proposal applies to each value that it
 * meets, and what the proposal's end means for whoever asked.
 *
 * <p><b>Invariant.</b> {@link #outcome} tells of a success or a refusal only by a value that is chosen. The
 * values of the register are one chain, along which versions rise and what was taken is remembered, so
 * neither answer can become wrong later.
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
            // The first value names the proposal's believed acceptors, whatever stands here.
            List<AcceptorMember> members = current == null ? List.of() : current.members();
            return new ChangeDecision.Write(new RegisterValue(members, SystemStateCodec.encode(changed.state())));
        }
        UnchangedReason answer = ((Unchanged) result).reason();
        return answer.isRejection() ? ChangeDecision.seal() : ChangeDecision.keep();
    }

    /**
     * The state that holds the change, also where it held it before.
     *
     * @throws ControlException where the change is refused, or where it is unclear whether it is taken
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
        // Nothing was written, so the chosen value is the one that was decided on.
        Unchanged unchanged = (Unchanged) change.apply(state);
        if (unchanged.reason() != UnchangedReason.ALREADY_APPLIED) {
            throw unchanged.failure();
        }
        return state;
    }

    /** The state in a value of the register; the empty one in none. */
    public static SystemState stateOf(RegisterValue value) {
        return value == null ? SystemState.EMPTY : SystemStateCodec.decode(value.payload());
    }
}
