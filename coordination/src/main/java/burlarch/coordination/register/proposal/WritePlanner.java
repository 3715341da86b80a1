package burlarch.coordination.register.proposal;

import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import burlarch.coordination.register.proposal.WritePlan.AwaitPrepares;
import burlarch.coordination.register.proposal.WritePlan.CompleteOtherSetChange;
import burlarch.coordination.register.proposal.WritePlan.CopyToJoiners;
import burlarch.coordination.register.proposal.WritePlan.FinalWrite;
import burlarch.coordination.register.proposal.WritePlan.Report;
import burlarch.coordination.register.proposal.WritePlan.StartSetChange;
import burlarch.coordination.register.proposal.WritePlan.Write;
import java.util.List;

/**
 * Plans what a proposal writes on top of the value that the prepare phase has read, and tracks the progress of the
 * proposal's own change across its attempts.
 *
 * <p>The first row that applies decides:
 *
 * <pre>
 * value read                                          | plan
 * ----------------------------------------------------+------------------------------------------------
 * none; the change decides to write                   | FinalWrite: the first value, initial acceptors
 * none; otherwise                                     | Report
 * own joint set, chosen, still the newest             | FinalWrite: the same payload with the new set
 * joint set of another, known to be chosen            | CompleteOtherSetChange: the new set
 * joint set of another, not known to be chosen        | CompleteOtherSetChange: the value unchanged
 * simple set; the change writes, same acceptors       | FinalWrite
 * simple set; the change writes, other acceptors      | StartSetChange, after CopyToJoiners if needed
 * simple set; Keep, known to be chosen, change unsent | Report
 * simple set; Keep or Seal otherwise                  | FinalWrite: the value unchanged
 * </pre>
 *
 * <p>Upholds invariants SetSuccession and JoinersHoldBase of {@link Proposal}. A write that needs more prepare
 * responses becomes {@link AwaitPrepares}.
 *
 * <p>Once the own change was sent, a value is reported only after it was written again: a value without the change
 * excludes the earlier write only when it is chosen under a higher number.
 */
final class WritePlanner {
    /** Whether an acceptor may have received the proposal's own change. */
    private enum ChangeProgress {
        NOT_SENT,
        SENT
    }

    private final RegisterChange change;
    private ChangeProgress progress = ChangeProgress.NOT_SENT;

    /** The last chosen intermediate write of this proposal, and its number; null and ZERO before the first. */
    private Write lastChosenStep;

    private ProposalNumber lastChosenNumber = ProposalNumber.ZERO;

    WritePlanner(RegisterChange change) {
        this.change = change;
    }

    /**
     * Plans the next step from a complete tally. May be called several times in an attempt, as more responses arrive.
     *
     * @param initialMembers the acceptors that the register's first value names
     */
    WritePlan plan(PrepareTally prepares, List<AcceptorMember> initialMembers) {
        RegisterValue current = prepares.newestValue();
        if (current == null) {
            return deferUntilPrepared(planOnEmptyRegister(initialMembers), prepares);
        }
        boolean ownStepIsNewest = prepares.newestNumber().equals(lastChosenNumber);
        if (ownStepIsNewest && lastChosenStep instanceof StartSetChange own) {
            return deferUntilPrepared(new FinalWrite(withNewMembers(current), own.decision()), prepares);
        }
        boolean chosen = ownStepIsNewest || prepares.isNewestValueChosen();
        return deferUntilPrepared(planOnValue(current, chosen), prepares);
    }

    /** Records that a write is sent to acceptors. */
    void onSent(Write write) {
        boolean carriesOwnChange = write instanceof StartSetChange
                || write instanceof FinalWrite last && last.decision() instanceof ChangeDecision.Write;
        if (carriesOwnChange) {
            progress = ChangeProgress.SENT;
        }
    }

    /** Records that an intermediate write is chosen. */
    void onStepChosen(Write step, ProposalNumber number) {
        lastChosenStep = step;
        lastChosenNumber = number;
    }

    /** Returns the result if the deadline passes now. */
    ProposalResult resultAtDeadline() {
        return switch (progress) {
            case NOT_SENT -> new ProposalResult.NotStarted();
            case SENT -> new ProposalResult.Unknown();
        };
    }

    private WritePlan planOnEmptyRegister(List<AcceptorMember> initialMembers) {
        ChangeDecision decision = change.decide(null);
        if (decision instanceof ChangeDecision.Write write) {
            return new FinalWrite(new RegisterValue(initialMembers, write.next().payload()), decision);
        }
        return new Report(decision);
    }

    private WritePlan planOnValue(RegisterValue current, boolean chosen) {
        AcceptorSet acceptors = AcceptorSet.of(current.members());
        if (acceptors.isJoint()) {
            return new CompleteOtherSetChange(chosen ? withNewMembers(current) : current);
        }
        ChangeDecision decision = change.decide(current);
        if (decision instanceof ChangeDecision.Write write) {
            return planOwnChange(current, acceptors, write);
        }
        boolean mayReport = decision instanceof ChangeDecision.Keep && chosen && progress == ChangeProgress.NOT_SENT;
        return mayReport ? new Report(decision) : new FinalWrite(current, decision);
    }

    private static WritePlan planOwnChange(
            RegisterValue current, AcceptorSet acceptors, ChangeDecision.Write decision) {
        RegisterValue next = decision.next();
        if (acceptors.hasSameAcceptors(next.members())) {
            return new FinalWrite(next, decision);
        }
        List<AcceptorMember> joint = AcceptorSet.jointMembers(current.members(), next.members());
        return new StartSetChange(new RegisterValue(joint, next.payload()), decision);
    }

    /** Postpones a write until all acceptors that it needs are prepared and hold the value that it is written on. */
    private static WritePlan deferUntilPrepared(WritePlan plan, PrepareTally prepares) {
        if (plan instanceof StartSetChange start) {
            return deferUntilJoinersHoldBase(start, prepares);
        }
        if (plan instanceof Write write && !prepares.hasQuorumOf(write.acceptors())) {
            return new AwaitPrepares(write.acceptors());
        }
        return plan;
    }

    /** JoinersHoldBase: acceptors that join must hold the value that the joint set is written on. */
    private static WritePlan deferUntilJoinersHoldBase(StartSetChange start, PrepareTally prepares) {
        AcceptorSet joint = start.acceptors();
        List<AcceptorMember> joiners = prepares.acceptors().joining(joint.newMembers());
        if (!prepares.hasResponsesOf(joiners) || !prepares.hasQuorumOf(joint)) {
            return new AwaitPrepares(joint);
        }
        return prepares.allHaveNewestValue(joiners) ? start : new CopyToJoiners(prepares.newestValue(), joiners);
    }

    private static RegisterValue withNewMembers(RegisterValue joint) {
        return new RegisterValue(AcceptorSet.of(joint.members()).newMembers(), joint.payload());
    }
}
