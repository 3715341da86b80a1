package burlarch.controller.register;

import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.state.SystemState;
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
import java.util.concurrent.CompletableFuture;
import org.tinylog.Logger;

/**
 * Periodic reconciler that changes the register's acceptor set to match the controllers that are alive. Runs on the
 * event loop.
 *
 * <p>Every controller checks periodically; the connected controller with the lowest address acts first. Each further
 * one in the order of addresses waits longer, so that they rarely compete. Competition is safe: each change applies
 * only to the acceptor set that its proposer has seen.
 *
 * <p>Invariant <em>no unfinished write remains</em>. A set change that its proposer left unfinished at some acceptors
 * needs the quorums of both sets when a later proposal discovers it, possibly after the joining acceptors were lost.
 * Therefore, whenever an unfinished write may exist, a value is chosen again, which either excludes that write or
 * completes it.
 *
 * <table>
 * <caption>Whether an older, unfinished write may still become chosen ({@code WriteHistory})</caption>
 * <tr><th>event</th><th>to</th></tr>
 * <tr><td>the first committed value after the start is known</td><td>POSSIBLY_UNFINISHED: writes before the start are
 * unknown</td></tr>
 * <tr><td>a newer committed value is known</td><td>SETTLED</td></tr>
 * <tr><td>a connection to another controller is lost</td><td>POSSIBLY_UNFINISHED: that controller may have been a
 * proposer</td></tr>
 * <tr><td>an acceptor set change by this process failed</td><td>POSSIBLY_UNFINISHED</td></tr>
 * </table>
 */
final class AcceptorSetReconciler {
    private static final long CHECK_PERIOD_NANOS = 250_000_000;
    /** Time for which an acceptor is unreachable or abstains before it is replaced. */
    private static final long REMOVE_AFTER_NANOS = 2_000_000_000;
    /** Additional checks that a controller waits for each connected controller with a lower address. */
    private static final int CHECKS_PER_RANK = 2;

    private enum Activity {
        IDLE,
        PROPOSING
    }

    private enum WriteHistory {
        SETTLED,
        POSSIBLY_UNFINISHED
    }

    /** A write that the register needs. */
    private sealed interface Repair {
        /**
         * Writes the empty state as the first value, so that the acceptor set can grow before the first configuration.
         */
        record WriteInitialState() implements Repair {}

        record ChangeMembers(List<AcceptorMember> from, List<AcceptorMember> to) implements Repair {}

        /** Chooses the current value again; see the invariant of the class. */
        record Seal() implements Repair {}
    }

    private final EventLoop loop;
    private final CommittedState committed;
    private final RegisterClient register;
    private final ControllerPeers peers;
    private final AcceptorMember own;
    private final AcceptorDiskMonitor ownDisk;
    private final long startedAtNanos;
    private final AcceptorSetPlanner planner;
    private final QuorumReachabilityReporter reachability;
    /** The newest committed proposal number at the last check; {@link ProposalNumber#ZERO} until one is known. */
    private ProposalNumber lastSeenNumber = ProposalNumber.ZERO;

    private WriteHistory history = WriteHistory.SETTLED;
    private Activity activity = Activity.IDLE;
    private int connectedControllers;
    private int checksWaited;

    /**
     * Schedules the first check.
     *
     * @param own this process's acceptor
     * @param ownDisk whether that acceptor can write to its disk
     * @param toleratedLosses the number of acceptors that may be lost at the same time
     */
    AcceptorSetReconciler(
            EventLoop loop,
            CommittedState committed,
            RegisterClient register,
            ControllerPeers peers,
            AcceptorMember own,
            AcceptorDiskMonitor ownDisk,
            int toleratedLosses) {
        this.loop = loop;
        this.committed = committed;
        this.register = register;
        this.peers = peers;
        this.own = own;
        this.ownDisk = ownDisk;
        startedAtNanos = loop.nanoTime();
        planner = new AcceptorSetPlanner(REMOVE_AFTER_NANOS, 2 * toleratedLosses + 1);
        reachability = new QuorumReachabilityReporter(startedAtNanos);
        loop.schedule(CHECK_PERIOD_NANOS, this::check);
    }

    private void check() {
        loop.schedule(CHECK_PERIOD_NANOS, this::check);
        List<Candidate> candidates = candidates();
        long now = loop.nanoTime();
        reachability.onObserved(AcceptorReachability.of(register.acceptors(), candidates, now), now);
        updateHistory();
        Optional<Repair> repair = neededRepair(candidates, now);
        if (repair.isEmpty()) {
            checksWaited = 0;
            return;
        }
        if (checksWaited++ >= rank() * CHECKS_PER_RANK && activity == Activity.IDLE) {
            perform(repair.get());
        }
    }

    /** Updates {@link #history}; {@link #onChangeFailed} is the only other place that sets it. */
    private void updateHistory() {
        int connectedNow = peers.connectedAddresses().size();
        if (committed.proposalNumber().compareTo(lastSeenNumber) > 0) {
            boolean firstKnown = lastSeenNumber.equals(ProposalNumber.ZERO);
            history = firstKnown ? WriteHistory.POSSIBLY_UNFINISHED : WriteHistory.SETTLED;
            lastSeenNumber = committed.proposalNumber();
        }
        if (connectedNow < connectedControllers) {
            history = WriteHistory.POSSIBLY_UNFINISHED;
        }
        connectedControllers = connectedNow;
    }

    private Optional<Repair> neededRepair(List<Candidate> candidates, long nowNanos) {
        Optional<List<AcceptorMember>> nextMembers = nextMembers(candidates, nowNanos);
        if (committed.value().isEmpty()) {
            return Optional.of(new Repair.WriteInitialState());
        }
        if (nextMembers.isPresent()) {
            return Optional.of(new Repair.ChangeMembers(committed.members(), nextMembers.get()));
        }
        return history == WriteHistory.POSSIBLY_UNFINISHED ? Optional.of(new Repair.Seal()) : Optional.empty();
    }

    private Optional<List<AcceptorMember>> nextMembers(List<Candidate> candidates, long nowNanos) {
        return activity == Activity.PROPOSING || register.acceptors().isJoint()
                ? Optional.empty()
                : planner.nextMembers(committed.members(), candidates, nowNanos);
    }

    private void perform(Repair repair) {
        activity = Activity.PROPOSING;
        propose(repair).whenComplete((state, failure) -> {
            activity = Activity.IDLE;
            if (failure != null && repair instanceof Repair.ChangeMembers change) {
                onChangeFailed(change, failure);
            }
        });
    }

    private CompletableFuture<SystemState> propose(Repair repair) {
        if (repair instanceof Repair.ChangeMembers change) {
            return register.changeMembers(change.from(), change.to());
        }
        return repair instanceof Repair.WriteInitialState ? register.writeInitialState() : register.seal();
    }

    private void onChangeFailed(Repair.ChangeMembers change, Throwable failure) {
        planner.onChangeFailed(change.from(), change.to(), loop.nanoTime());
        history = WriteHistory.POSSIBLY_UNFINISHED;
        Logger.warn(
                "acceptor set change failed: change=\"{}\" error=\"{}\"",
                AcceptorSetChange.between(change.from(), change.to()),
                failure.getMessage());
    }

    private List<Candidate> candidates() {
        List<Candidate> candidates = new ArrayList<>(peers.candidates());
        candidates.add(
                ownDisk.abstains()
                        ? Candidate.ofAbstaining(own, ownDisk.abstainingSinceNanos())
                        : Candidate.ofReachable(own, startedAtNanos));
        return candidates;
    }

    /** The number of connected controllers with a lower address than this one. */
    private int rank() {
        int lowerAddresses = 0;
        for (String address : peers.connectedAddresses()) {
            lowerAddresses += address.compareTo(own.address()) < 0 ? 1 : 0;
        }
        return lowerAddresses;
    }
}
