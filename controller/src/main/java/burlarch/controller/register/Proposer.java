package burlarch.controller.register;

import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.register.proposal.RegisterChange;
import java.util.concurrent.CompletableFuture;

/** Proposes changes to the register's value. Called on the event loop. */
public interface Proposer {
    /**
     * Proposes one change.
     *
     * @param timeoutNanos maximum time until the proposal ends, including its time in the queue
     * @return future of the proposal's result; completes on the event loop and never fails
     */
    CompletableFuture<ProposalResult> propose(RegisterChange change, long timeoutNanos);
}
