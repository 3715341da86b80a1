package burlarch.controller;

import burlarch.controller.state.ChangeResult;
import burlarch.controller.state.StateProposal;
import burlarch.controller.state.SystemState;
import burlarch.controller.state.SystemStateCodec;
import burlarch.coordination.register.AcceptorSet;
import burlarch.coordination.register.Decision;
import burlarch.coordination.register.Member;
import burlarch.coordination.register.ProposalResult;
import burlarch.coordination.register.RegisterValue;
import burlarch.node.error.ErrorKind;
import burlarch.node.error.FleetException;
import burlarch.transport.NodeMessage;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * The register as one that holds a {@link SystemState}: what a proposal chose is adopted and told to the
 * other controllers before anyone hears of its end. Lives on the loop.
 */
final class StateRegister {
    private static final long PROPOSAL_NANOS = 850_000_000;

    private final Register driver;
    private final DecidedState decided;
    private final ControllerPeers peers;

    StateRegister(Register driver, DecidedState decided, ControllerPeers peers) {
        this.driver = driver;
        this.decided = decided;
        this.peers = peers;
    }

    /**
     * Changes the state.
     *
     * @return the state that holds the change, also where it held it before; fails with a {@link
     * FleetException}
     */
    CompletableFuture<SystemState> change(Function<SystemState, ChangeResult> change) {
        StateProposal proposal = new StateProposal(change);
        return driver.propose(proposal, PROPOSAL_NANOS).thenApply(result -> {
            adopt(result);
            return proposal.outcome(result);
        });
    }

    /** The newest state, as a quorum has it. */
    CompletableFuture<SystemState> read() {
        return driver.propose(current -> Decision.keep(), PROPOSAL_NANOS).thenApply(this::adopted);
    }

    /** Writes an empty state where the register holds none. */
    CompletableFuture<SystemState> found() {
        return driver.propose(
                        current -> current != null
                                ? Decision.keep()
                                : new Decision.Write(new RegisterValue(
                                        decided.members(), SystemStateCodec.encode(SystemState.EMPTY))),
                        PROPOSAL_NANOS)
                .thenApply(this::adopted);
    }

    /**
     * Writes the state again, so that no write that was left unfinished before can come to light any more, a
     * changing set of acceptors among them.
     */
    CompletableFuture<SystemState> seal() {
        return driver.propose(current -> Decision.seal(), PROPOSAL_NANOS).thenApply(this::adopted);
    }

    /** Changes the acceptors; the state stays. */
    CompletableFuture<SystemState> changeMembers(List<Member> from, List<Member> to) {
        return driver.propose(
                        current -> {
                            boolean asExpected =
                                    current != null && current.members().equals(from);
                            return asExpected
                                    ? new Decision.Write(new RegisterValue(to, current.payload()))
                                    : Decision.keep();
                        },
                        PROPOSAL_NANOS)
                .thenApply(this::adopted);
    }

    private SystemState adopted(ProposalResult result) {
        adopt(result);
        if (result instanceof ProposalResult.Chosen chosen) {
            return StateProposal.stateOf(chosen.value());
        }
        boolean unclear = result instanceof ProposalResult.Unknown;
        throw new FleetException(unclear ? ErrorKind.UNCLEAR : ErrorKind.NO_QUORUM);
    }

    private void adopt(ProposalResult result) {
        if (result instanceof ProposalResult.Chosen chosen && decided.adopt(chosen.ballot(), chosen.value(), true)) {
            peers.sendAll(NodeMessage.Committed.withoutValue(chosen.ballot()));
        }
    }

    /** The newest state that is known here without asking. */
    SystemState known() {
        return decided.state();
    }

    /** The acceptors that have a vote, as far as is known here. */
    AcceptorSet acceptors() {
        return AcceptorSet.of(decided.members());
    }
}
