package burlarch.controller.register;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.CommittedState.Origin;
import burlarch.controller.state.ChangeResult;
import burlarch.controller.state.StateChangeProposal;
import burlarch.controller.state.SystemState;
import burlarch.controller.state.SystemStateCodec;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import burlarch.coordination.register.proposal.ChangeDecision;
import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.register.proposal.RegisterChange;
import burlarch.transport.NodeMessage;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Client of the replicated register, through which the other packages read and change the {@link SystemState}. Called
 * on the event loop, where its futures complete; they fail with a {@link ControlException}. It has no state of its own.
 *
 * <p>Invariant <em>commit before result</em>: before a caller learns of a proposal's result, the chosen value is in
 * {@link CommittedState} and its proposal number was sent to the other controllers.
 */
public final class RegisterClient {
    private static final long PROPOSAL_TIMEOUT_NANOS = 850_000_000;

    private final Proposer proposer;
    private final CommittedState committed;
    private final ControllerPeers peers;

    /** Creates a client that proposes through {@code proposer} and advances {@code committed}. */
    public RegisterClient(Proposer proposer, CommittedState committed, ControllerPeers peers) {
        this.proposer = proposer;
        this.committed = committed;
        this.peers = peers;
    }

    /**
     * Changes the state.
     *
     * @param change a pure function, such as those of {@link burlarch.controller.state.StateChanges}
     * @return future of a state that contains the change, which may have been applied earlier already
     */
    public CompletableFuture<SystemState> change(Function<SystemState, ChangeResult> change) {
        StateChangeProposal proposal = new StateChangeProposal(change);
        return proposer.propose(proposal, PROPOSAL_TIMEOUT_NANOS).thenApply(result -> {
            commit(result);
            return proposal.outcome(result);
        });
    }

    /** Reads the newest state from a quorum (a linearizable read). */
    public CompletableFuture<SystemState> read() {
        return proposeAndRead(current -> ChangeDecision.keep());
    }

    /** Writes the empty state if the register holds no value yet. */
    CompletableFuture<SystemState> writeInitialState() {
        return proposeAndRead(current -> current != null
                ? ChangeDecision.keep()
                : new ChangeDecision.Write(
                        new RegisterValue(committed.members(), SystemStateCodec.encode(SystemState.EMPTY))));
    }

    /**
     * Writes the current state again. Afterwards no write that was left unfinished earlier, such as a change of the
     * acceptor set, can become chosen.
     */
    CompletableFuture<SystemState> seal() {
        return proposeAndRead(current -> ChangeDecision.seal());
    }

    /** Changes the acceptor set if it is still {@code from}; the state is kept. */
    CompletableFuture<SystemState> changeMembers(List<AcceptorMember> from, List<AcceptorMember> to) {
        return proposeAndRead(current -> {
            boolean unchanged = current != null && current.members().equals(from);
            return unchanged
                    ? new ChangeDecision.Write(new RegisterValue(to, current.payload()))
                    : ChangeDecision.keep();
        });
    }

    private CompletableFuture<SystemState> proposeAndRead(RegisterChange change) {
        return proposer.propose(change, PROPOSAL_TIMEOUT_NANOS).thenApply(this::stateOf);
    }

    private SystemState stateOf(ProposalResult result) {
        commit(result);
        if (result instanceof ProposalResult.Chosen chosen) {
            return StateChangeProposal.stateOf(chosen.value());
        }
        boolean outcomeUnknown = result instanceof ProposalResult.Unknown;
        throw new ControlException(outcomeUnknown ? ErrorKind.UNCLEAR : ErrorKind.NO_QUORUM);
    }

    private void commit(ProposalResult result) {
        if (result instanceof ProposalResult.Chosen chosen
                && chosen.value() != null
                && committed.advance(chosen.proposalNumber(), chosen.value(), Origin.OWN_PROPOSAL)) {
            peers.sendAll(NodeMessage.Committed.withoutValue(chosen.proposalNumber()));
        }
    }

    /** The newest committed state known to this process; not a quorum read, so it may be stale. */
    public SystemState committedState() {
        return committed.state();
    }

    /** The acceptor set of the newest committed value known to this process. */
    public AcceptorSet acceptors() {
        return AcceptorSet.of(committed.members());
    }
}
