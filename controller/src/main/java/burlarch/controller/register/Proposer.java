package burlarch.controller.register;

import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.register.proposal.RegisterChange;
import java.util.concurrent.CompletableFuture;

/** Proposes changes of the register. Called on the event loop. */
public interface Proposer {
    /**
     * Proposes one change.
     *
     * @param timeoutNanos after which the proposal ends at the latest
     * @return completes on the event loop with the way in which the proposal ended; never fails
     */
    CompletableFuture<ProposalResult> propose(RegisterChange change, long timeoutNanos);
}
