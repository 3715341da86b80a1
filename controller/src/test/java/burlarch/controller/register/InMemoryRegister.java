package burlarch.controller.register;

import burlarch.controller.state.SystemState;
import burlarch.controller.state.SystemStateCodec;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.proposal.ChangeDecision;
import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.register.proposal.RegisterChange;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;

/** Register of a single process for tests: holds its value in memory and can delay its results. */
public final class InMemoryRegister implements Proposer {
    private record Proposal(RegisterChange change, CompletableFuture<ProposalResult> result) {}

    private final Queue<Proposal> delayed = new ArrayDeque<>();
    private RegisterValue value;
    private long writes;
    private boolean delaying;

    /** Creates a register that contains the empty state. */
    public InMemoryRegister(List<AcceptorMember> members) {
        value = new RegisterValue(members, SystemStateCodec.encode(SystemState.EMPTY));
    }

    @Override
    public CompletableFuture<ProposalResult> propose(RegisterChange change, long timeoutNanos) {
        Proposal proposal = new Proposal(change, new CompletableFuture<>());
        if (delaying) {
            delayed.add(proposal);
        } else {
            execute(proposal);
        }
        return proposal.result();
    }

    private void execute(Proposal proposal) {
        ChangeDecision decision = proposal.change().decide(value);
        if (decision instanceof ChangeDecision.Write write) {
            value = write.next();
            writes++;
        }
        proposal.result().complete(new ProposalResult.Chosen(new ProposalNumber(writes, "test"), value, decision));
    }

    /** Delays the proposals from now on. */
    public void delay() {
        delaying = true;
    }

    /** Executes the delayed proposals and those that they cause, and delays none any more. */
    public void release() {
        delaying = false;
        while (!delayed.isEmpty()) {
            execute(delayed.remove());
        }
    }

    /** Ends the oldest delayed proposal without a change. */
    public void failNext() {
        delayed.remove().result().complete(new ProposalResult.NotStarted());
    }

    /** Number of values that were written. */
    public long writes() {
        return writes;
    }
}
