package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.List;

/**
 * What a proposal does with the value that phase one showed.
 *
 * @param value to be written; null where nothing is
 * @param decision of the change that this rests on; null where the change was not asked yet
 * @param step what the write leads to
 */
record WritePlan(RegisterValue value, ChangeDecision decision, Step step) {
    enum Step {
        /** Nothing to write: the value read is the result. */
        REPORT,
        /** Brings somebody else's change of the set one step on; then phase one anew. */
        COMPLETE,
        /** Writes the value again, to acceptors that are to join too; then phase one anew. */
        COPY,
        /** Writes the value with both sets in force; then phase one anew, for the settled one. */
        CHANGE_SET,
        /** The last write: once chosen, the proposal is done. */
        FINISH
    }

    /** Whether the write brings the proposal's own change before an acceptor. */
    boolean carriesChange() {
        return decision instanceof ChangeDecision.Write;
    }

    /**
     * Plans on a value that is there.
     *
     * @param current value that phase one showed
     * @param chosen whether it is known to be chosen
     * @param mayReport whether a chosen value may be reported without writing it again
     */
    static WritePlan on(RegisterValue current, boolean chosen, boolean mayReport, RegisterChange change) {
        AcceptorSet set = AcceptorSet.of(current.members());
        if (set.isJoint()) {
            return new WritePlan(chosen ? settled(current) : current, null, Step.COMPLETE);
        }
        ChangeDecision decision = change.decide(current);
        if (decision instanceof ChangeDecision.Write write) {
            return writing(current, set, write);
        }
        boolean sealing = ((ChangeDecision.Keep) decision).sealing();
        return chosen && mayReport && !sealing
                ? new WritePlan(null, decision, Step.REPORT)
                : new WritePlan(current, decision, Step.FINISH);
    }

    /** Plans on an empty register, whose first value names the acceptors of the first start. */
    static WritePlan onEmpty(List<AcceptorMember> first, RegisterChange change) {
        ChangeDecision decision = change.decide(null);
        if (decision instanceof ChangeDecision.Write write) {
            RegisterValue value = new RegisterValue(first, write.next().payload());
            return new WritePlan(value, decision, Step.FINISH);
        }
        return new WritePlan(null, decision, Step.REPORT);
    }

    /** Plans to bring the value before acceptors that don't hold it yet and are to join. */
    static WritePlan copying(RegisterValue current) {
        return new WritePlan(current, null, Step.COPY);
    }

    /** Plans the end of one's own change of the set, whose value is chosen and still the newest. */
    static WritePlan settling(RegisterValue current, ChangeDecision decision) {
        return new WritePlan(settled(current), decision, Step.FINISH);
    }

    private static WritePlan writing(RegisterValue current, AcceptorSet set, ChangeDecision.Write write) {
        RegisterValue next = write.next();
        if (set.hasSameAcceptors(next.members())) {
            return new WritePlan(next, write, Step.FINISH);
        }
        RegisterValue both =
                new RegisterValue(AcceptorSet.jointMembers(current.members(), next.members()), next.payload());
        return new WritePlan(both, write, Step.CHANGE_SET);
    }

    private static RegisterValue settled(RegisterValue changing) {
        return new RegisterValue(AcceptorSet.of(changing.members()).newMembers(), changing.payload());
    }
}
