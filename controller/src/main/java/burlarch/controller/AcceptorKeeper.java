package burlarch.controller;

import burlarch.coordination.register.AcceptorReach;
import burlarch.coordination.register.AcceptorSetChange;
import burlarch.coordination.register.AcceptorSetPlan;
import burlarch.coordination.register.AcceptorSetPlan.Candidate;
import burlarch.coordination.register.Ballot;
import burlarch.coordination.register.Member;
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
final class AcceptorKeeper {
    private static final long PERIOD_NANOS = 250_000_000;
    private static final long REMOVE_AFTER_NANOS = 2_000_000_000;
    private static final int TURNS_BETWEEN_CONTROLLERS = 2;

    private final EventLoop loop;
    private final DecidedState decided;
    private final StateRegister register;
    private final ControllerPeers peers;
    private final Member own;
    private final long startedNanos;
    private final AcceptorSetPlan plan;
    private final MajorityWatch majority;
    /** The newest ballot known at the last check; {@link Ballot#ZERO} until one was known. */
    private Ballot knownBefore = Ballot.ZERO;

    private boolean mayBeUnfinished;
    private int controllersUp;
    private int turnsWaited;
    private boolean changing;

    /** @param lossesBorne how many acceptors may be lost at once */
    AcceptorKeeper(
            EventLoop loop,
            DecidedState decided,
            StateRegister register,
            ControllerPeers peers,
            Member own,
            int lossesBorne) {
        this.loop = loop;
        this.decided = decided;
        this.register = register;
        this.peers = peers;
        this.own = own;
        startedNanos = loop.nanoTime();
        plan = new AcceptorSetPlan(REMOVE_AFTER_NANOS, 2 * lossesBorne + 1);
        majority = new MajorityWatch(startedNanos);
        loop.schedule(PERIOD_NANOS, this::check);
    }

    private void check() {
        loop.schedule(PERIOD_NANOS, this::check);
        List<Candidate> candidates = candidates();
        long now = loop.nanoTime();
        majority.onLook(AcceptorReach.of(register.acceptors(), candidates, now), now);
        watchForUnfinished();
        Optional<List<Member>> next = changing || register.acceptors().isChanging()
                ? Optional.empty()
                : plan.next(decided.members(), candidates, now);
        boolean founded = decided.value() != null;
        if (founded && next.isEmpty() && !mayBeUnfinished) {
            turnsWaited = 0;
            return;
        }
        if (turnsWaited++ >= rank() * TURNS_BETWEEN_CONTROLLERS && !changing) {
            act(founded, next);
        }
    }

    private void act(boolean founded, Optional<List<Member>> next) {
        if (!founded) {
            found();
        } else if (next.isPresent()) {
            change(decided.members(), next.get());
        } else {
            changing = true;
            register.seal().whenComplete((state, failure) -> changing = false);
        }
    }

    /**
     * A change of the set that its proposer left unfinished would need the quorums of both sets once it is
     * found, maybe when acceptors that were to join are long lost. So after the start, a change that failed
     * and the loss of another controller, something has to be chosen anew: what is chosen after a write was
     * left bars it, or completes it.
     */
    private void watchForUnfinished() {
        int up = peers.upAddresses().size();
        if (decided.ballot().compareTo(knownBefore) > 0) {
            mayBeUnfinished = knownBefore.equals(Ballot.ZERO);
            knownBefore = decided.ballot();
        }
        mayBeUnfinished |= up < controllersUp;
        controllersUp = up;
    }

    /** The first value: an empty state, so that the set can grow before the first configuration. */
    private void found() {
        changing = true;
        register.found().whenComplete((state, failure) -> changing = false);
    }

    private void change(List<Member> members, List<Member> next) {
        changing = true;
        register.changeMembers(members, next).whenComplete((state, failure) -> {
            changing = false;
            if (failure != null) {
                plan.onFailed(members, next, loop.nanoTime());
                mayBeUnfinished = true;
                Logger.warn(
                        "acceptors stay as they are ({}): {}",
                        failure.getMessage(),
                        AcceptorSetChange.between(members, next));
            }
        });
    }

    private List<Candidate> candidates() {
        List<Candidate> candidates = new ArrayList<>(peers.candidates());
        candidates.add(new Candidate(own, true, startedNanos));
        return candidates;
    }

    private int rank() {
        int before = 0;
        for (String address : peers.upAddresses()) {
            before += address.compareTo(own.address()) < 0 ? 1 : 0;
        }
        return before;
    }
}
