package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.List;

/** The next step of an attempt once a quorum is prepared, as planned by {@link WritePlanner}. */
sealed interface WritePlan {
    /** Nothing is written: the value that was read is the result. */
    record Report(ChangeDecision decision) implements WritePlan {}

    /**
     * The next write needs prepare responses of more acceptors; the prepare request is sent to these too.
     */
    record AwaitPrepares(AcceptorSet acceptors) implements WritePlan {}

    /**
     * A value is written. All but {@link FinalWrite} are intermediate steps, after which the next attempt
     * follows.
     */
    sealed interface Write extends WritePlan {
        /** Returns the value to write. */
        RegisterValue value();

        /** Returns the acceptors a quorum of which must accept the write. */
        default AcceptorSet acceptors() {
            return AcceptorSet.of(value().members());
        }

        /** Acceptors outside the set that have to hold the value too. */
        default List<AcceptorMember> joiners() {
            return List.of();
        }
    }

    /** Advances the set change of another proposer by one step. */
    record CompleteOtherSetChange(RegisterValue value) implements Write {}

    /** Writes the value that was read once more, also to the joining acceptors. */
    record CopyToJoiners(RegisterValue value, List<AcceptorMember> joiners) implements Write {}

    /** Writes the proposal's own change with the joint set. */
    record StartSetChange(RegisterValue value, ChangeDecision.Write decision) implements Write {}

    /** The last write: once it is chosen, the proposal is finished. */
    record FinalWrite(RegisterValue value, ChangeDecision decision) implements Write {}
}
