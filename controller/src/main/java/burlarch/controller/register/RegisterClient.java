package burlarch.controller.register;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.state.ChangeResult;
import burlarch.controller.state.StateChangeProposal;
import burlarch.controller.state.SystemState;
import burlarch.controller.state.SystemStateCodec;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import burlarch.coordination.register.proposal.ChangeDecision;
import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.transport.NodeMessage;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * The register as one that holds a {@link SystemState}: what a proposal chose is adopted and told to the
 * other controllers before anyone hears of its end. Lives on the loop.
 */
public final class RegisterClient {
    private static final long PROPOSAL_TIMEOUT_NANOS = 850_000_000;

    private final Proposer proposer;
    private final CommittedState committed;
    private final ControllerPeers peers;

    public RegisterClient(Proposer driver, CommittedState decided, ControllerPeers peers) {
        this.proposer = driver;
        this.committed = decided;
        this.peers = peers;
    }

    /**
     * Changes the state.
     *
     * @return the state that holds the change, also where it held it before; fails with a {@link
     * ControlException}
     */
    public CompletableFuture<SystemState> change(Function<SystemState, ChangeResult> change) {
        StateChangeProposal proposal = new StateChangeProposal(change);
        return proposer.propose(proposal, PROPOSAL_TIMEOUT_NANOS).thenApply(result -> {
            learnChosen(result);
            return proposal.outcome(result);
        });
    }

    /** The newest state, as a quorum has it. */
    public CompletableFuture<SystemState> read() {
        return proposer.propose(current -> ChangeDecision.keep(), PROPOSAL_TIMEOUT_NANOS)
                .thenApply(this::stateOf);
    }

    /** Writes an empty state where the register holds none. */
    public CompletableFuture<SystemState> writeInitialState() {
        return proposer.propose(
                        current -> current != null
                                ? ChangeDecision.keep()
                                : new ChangeDecision.Write(new RegisterValue(
                                        committed.members(), SystemStateCodec.encode(SystemState.EMPTY))),
                        PROPOSAL_TIMEOUT_NANOS)
                .thenApply(this::stateOf);
    }

    /**
     * Writes the state again, so that no write that was left unfinished before can come to light any more, a
     * changing set of acceptors among them.
     */
    public CompletableFuture<SystemState> seal() {
        return proposer.propose(current -> ChangeDecision.seal(), PROPOSAL_TIMEOUT_NANOS)
                .thenApply(this::stateOf);
    }

    /** Changes the acceptors; the state stays. */
    public CompletableFuture<SystemState> changeMembers(List<AcceptorMember> from, List<AcceptorMember> to) {
        return proposer.propose(
                        current -> {
                            boolean asExpected =
                                    current != null && current.members().equals(from);
                            return asExpected
                                    ? new ChangeDecision.Write(new RegisterValue(to, current.payload()))
                                    : ChangeDecision.keep();
                        },
                        PROPOSAL_TIMEOUT_NANOS)
                .thenApply(this::stateOf);
    }

    private SystemState stateOf(ProposalResult result) {
        learnChosen(result);
        if (result instanceof ProposalResult.Chosen chosen) {
            return StateChangeProposal.stateOf(chosen.value());
        }
        boolean unclear = result instanceof ProposalResult.Unknown;
        throw new ControlException(unclear ? ErrorKind.UNCLEAR : ErrorKind.NO_QUORUM);
    }

    private void learnChosen(ProposalResult result) {
        if (result instanceof ProposalResult.Chosen chosen
                && committed.advance(chosen.proposalNumber(), chosen.value(), true)) {
            peers.sendAll(NodeMessage.Committed.withoutValue(chosen.proposalNumber()));
        }
    }

    /** The newest state that is known here without asking. */
    public SystemState committedState() {
        return committed.state();
    }

    /** The acceptors that have a vote, as far as is known here. */
    public AcceptorSet acceptors() {
        return AcceptorSet.of(committed.members());
    }
}
