package burlarch.controller.register;

import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.register.proposal.RegisterChange;
import java.util.concurrent.CompletableFuture;

/** The register as those see it who change it. */
public interface Proposer {
    /** Proposes a change; the result comes on the loop, at the latest when the limit is over. */
    CompletableFuture<ProposalResult> propose(RegisterChange change, long limitNanos);
}
