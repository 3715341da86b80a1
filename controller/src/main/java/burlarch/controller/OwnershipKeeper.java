package burlarch.controller;

import burlarch.controller.state.Lease;
import burlarch.controller.state.StateChanges;
import burlarch.controller.state.SystemState;
import burlarch.coordination.ownership.LeaseState;
import burlarch.coordination.ownership.OwnershipLease;
import burlarch.coordination.ownership.ShardOwners;
import burlarch.transport.EventLoop;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Keeps one duty with one of the live controllers. The one that the duty falls to by rendezvous takes it
 * ahead of need, so that the former owner's lease is over by then; while there is work it has the register
 * confirm it. Lives on the loop.
 */
final class OwnershipKeeper {
    private static final long PERIOD_NANOS = 200_000_000;
    /**
     * For so long after its start, or after it was cut off, a controller may not yet be connected to others
     * that live.
     */
    private static final long GATHERING_NANOS = 1_500_000_000;

    /** Told when the duty begins and ends here. */
    interface Duty {
        /** @param token higher than any former owner's */
        void begin(long token);

        void end();
    }

    private final EventLoop loop;
    private final StateRegister register;
    private final OwnerWatch owners;
    private final QuorumWatch quorum;
    private final String key;
    private final String ownAddress;
    private final String holderName;
    private final OwnershipLease lease;
    private final BooleanSupplier hasWork;
    private final Duty duty;
    private boolean asking;
    private boolean acting;
    /** When this process became the owner under its present token, and under which one. */
    private long ownerSinceNanos;

    private long ownerToken = -1;

    /** @param holderName unique for this start of this process, ending in {@code @} and its address */
    OwnershipKeeper(
            EventLoop loop,
            StateRegister register,
            OwnerWatch owners,
            QuorumWatch quorum,
            String key,
            String ownAddress,
            String holderName,
            long leaseNanos,
            BooleanSupplier hasWork,
            Duty duty) {
        this.loop = loop;
        this.register = register;
        this.owners = owners;
        this.quorum = quorum;
        this.key = key;
        this.ownAddress = ownAddress;
        this.holderName = holderName;
        lease = new OwnershipLease(holderName, leaseNanos);
        this.hasWork = hasWork;
        this.duty = duty;
        loop.schedule(PERIOD_NANOS, this::check);
    }

    /** Name under which orders go out. */
    String holderName() {
        return holderName;
    }

    /** Whether an order may be sent now; to be asked before each one. */
    boolean mayAct() {
        return lease.mayAct(loop.nanoTime());
    }

    /** An engine has seen a higher token. */
    void onFenced() {
        if (lease.state() == LeaseState.HOLDING || lease.state() == LeaseState.WAITING_OUT) {
            lease.release();
            update();
        }
    }

    /** Looks at once whether there is work, instead of at the next turn. */
    void wake() {
        loop.execute(this::step);
    }

    private void check() {
        loop.schedule(PERIOD_NANOS, this::check);
        step();
    }

    private void step() {
        lease.onTimer(loop.nanoTime());
        if (lease.state() == LeaseState.LOST) {
            lease.release();
        }
        if (!asking) {
            ask();
        }
        update();
    }

    private void ask() {
        boolean works = hasWork.getAsBoolean();
        switch (lease.state()) {
            case FREE -> {
                boolean owner = isOwner(register.known());
                if (owner ? works : falls()) {
                    claim();
                }
            }
            case WAITING_OUT, HOLDING -> {
                if (works && loop.nanoTime() - lease.confirmBy() >= 0) {
                    confirm();
                }
            }
            default -> {}
        }
    }

    private boolean isOwner(SystemState state) {
        Lease known = state.owners().get(key);
        return known != null && known.holder().equals(holderName);
    }

    /**
     * Whether the duty falls to this controller: the owner is lost, and rendezvous over those that live names
     * it. One that is cut off from the others can't tell.
     */
    private boolean falls() {
        Lease known = register.known().owners().get(key);
        if (known != null && owners.lives(known.holder(), loop.nanoTime()) || isGathering()) {
            return false;
        }
        return ownAddress.equals(new ShardOwners(owners.candidates(), List.of(key)).ownerOf(key));
    }

    private boolean isGathering() {
        return !quorum.holds() || !quorum.heldFor(GATHERING_NANOS) && !owners.allUp();
    }

    private void claim() {
        asking = true;
        lease.claim();
        long askedAt = loop.nanoTime();
        String[] former = new String[1];
        register.change(state -> {
                    Lease before = state.owners().get(key);
                    former[0] = before == null ? null : before.holder();
                    return StateChanges.takeOwnership(state, key, holderName);
                })
                .whenComplete((state, failure) -> {
                    asking = false;
                    if (failure != null) {
                        lease.claimFailed();
                        return;
                    }
                    onClaimed(state.owners().get(key), former[0], askedAt);
                });
    }

    private void onClaimed(Lease taken, String former, long askedAt) {
        long now = loop.nanoTime();
        if (taken == null || !taken.holder().equals(holderName)) {
            lease.claimFailed();
            return;
        }
        if (taken.token() != ownerToken) {
            ownerToken = taken.token();
            ownerSinceNanos = former == null ? now - lease.waitNanos() : now;
        }
        boolean waitedOut = now - ownerSinceNanos >= lease.waitNanos();
        lease.claimTaken(taken.token(), waitedOut ? null : "another", askedAt, now);
        Logger.info("{} owned under token {}", key, taken.token());
        update();
    }

    private void confirm() {
        asking = true;
        long askedAt = loop.nanoTime();
        register.read().whenComplete((state, failure) -> {
            asking = false;
            if (failure == null) {
                Lease shown = state.owners().get(key);
                if (shown != null) {
                    lease.registerShows(shown.holder(), shown.token(), askedAt);
                }
            }
            update();
        });
    }

    private void update() {
        boolean may = mayAct();
        if (may && !acting) {
            acting = true;
            duty.begin(lease.token());
        } else if (!may && acting) {
            acting = false;
            duty.end();
        }
    }
}
