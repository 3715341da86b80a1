package burlarch.controller.register;

import burlarch.controller.peers.ControllerPeers;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorReachability;
import burlarch.coordination.register.acceptorset.AcceptorSetChange;
import burlarch.coordination.register.acceptorset.AcceptorSetPlanner;
import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate;
import burlarch.transport.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tinylog.Logger;

/**
 * Keeps the register's acceptors in step with the controllers that live. The first live one by address acts;
 * the others wait longer the later they stand, so that they rarely get into each other's way. Lives on the
 * loop.
 */
public final class AcceptorSetReconciler {
    private static final long CHECK_PERIOD_NANOS = 250_000_000;
    private static final long REMOVE_AFTER_NANOS = 2_000_000_000;
    private static final int CHECKS_PER_RANK = 2;

    private final EventLoop loop;
    private final CommittedState committed;
    private final RegisterClient register;
    private final ControllerPeers peers;
    private final AcceptorMember own;
    private final long startedNanos;
    private final AcceptorSetPlanner planner;
    private final QuorumReachabilityReporter reachability;
    /** The newest ballot known at the last check; {@link ProposalNumber#ZERO} until one was known. */
    private ProposalNumber lastSeenProposalNumber = ProposalNumber.ZERO;

    private boolean unfinishedWritePossible;
    private int connectedControllers;
    private int checksWaited;
    private boolean proposing;

    /** @param lossesBorne how many acceptors may be lost at once */
    public AcceptorSetReconciler(
            EventLoop loop,
            CommittedState decided,
            RegisterClient register,
            ControllerPeers peers,
            AcceptorMember own,
            int lossesBorne) {
        this.loop = loop;
        this.committed = decided;
        this.register = register;
        this.peers = peers;
        this.own = own;
        startedNanos = loop.nanoTime();
        planner = new AcceptorSetPlanner(REMOVE_AFTER_NANOS, 2 * lossesBorne + 1);
        reachability = new QuorumReachabilityReporter(startedNanos);
        loop.schedule(CHECK_PERIOD_NANOS, this::check);
    }

    private void check() {
        loop.schedule(CHECK_PERIOD_NANOS, this::check);
        List<Candidate> candidates = candidates();
        long now = loop.nanoTime();
        reachability.onObserved(AcceptorReachability.of(register.acceptors(), candidates, now), now);
        detectUnfinishedWrites();
        Optional<List<AcceptorMember>> next = proposing || register.acceptors().isJoint()
                ? Optional.empty()
                : planner.nextMembers(committed.members(), candidates, now);
        boolean founded = committed.value() != null;
        if (founded && next.isEmpty() && !unfinishedWritePossible) {
            checksWaited = 0;
            return;
        }
        if (checksWaited++ >= rank() * CHECKS_PER_RANK && !proposing) {
            act(founded, next);
        }
    }

    private void act(boolean founded, Optional<List<AcceptorMember>> next) {
        if (!founded) {
            writeInitialState();
        } else if (next.isPresent()) {
            changeMembers(committed.members(), next.get());
        } else {
            proposing = true;
            register.seal().whenComplete((state, failure) -> proposing = false);
        }
    }

    /**
     * A change of the set that its proposer left unfinished would need the quorums of both sets once it is
     * found, maybe when acceptors that were to join are long lost. So after the start, a change that failed
     * and the loss of another controller, something has to be chosen anew: what is chosen after a write was
     * left bars it, or completes it.
     */
    private void detectUnfinishedWrites() {
        int up = peers.connectedAddresses().size();
        if (committed.proposalNumber().compareTo(lastSeenProposalNumber) > 0) {
            unfinishedWritePossible = lastSeenProposalNumber.equals(ProposalNumber.ZERO);
            lastSeenProposalNumber = committed.proposalNumber();
        }
        unfinishedWritePossible |= up < connectedControllers;
        connectedControllers = up;
    }

    /** The first value: an empty state, so that the set can grow before the first configuration. */
    private void writeInitialState() {
        proposing = true;
        register.writeInitialState().whenComplete((state, failure) -> proposing = false);
    }

    private void changeMembers(List<AcceptorMember> members, List<AcceptorMember> next) {
        proposing = true;
        register.changeMembers(members, next).whenComplete((state, failure) -> {
            proposing = false;
            if (failure != null) {
                planner.onChangeFailed(members, next, loop.nanoTime());
                unfinishedWritePossible = true;
                Logger.warn(
                        "acceptors stay as they are ({}): {}",
                        failure.getMessage(),
                        AcceptorSetChange.between(members, next));
            }
        });
    }

    private List<Candidate> candidates() {
        List<Candidate> candidates = new ArrayList<>(peers.candidates());
        candidates.add(Candidate.ofReachable(own, startedNanos));
        return candidates;
    }

    private int rank() {
        int before = 0;
        for (String address : peers.connectedAddresses()) {
            before += address.compareTo(own.address()) < 0 ? 1 : 0;
        }
        return before;
    }
}
