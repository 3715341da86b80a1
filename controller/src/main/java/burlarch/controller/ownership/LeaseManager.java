package burlarch.controller.ownership;

import burlarch.controller.register.QuorumContactMonitor;
import burlarch.controller.register.RegisterClient;
import burlarch.controller.state.Lease;
import burlarch.controller.state.StateChanges;
import burlarch.controller.state.SystemState;
import burlarch.coordination.ownership.LeaseState;
import burlarch.coordination.ownership.OwnershipLease;
import burlarch.coordination.ownership.RendezvousAssignment;
import burlarch.transport.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;

/**
 * Keeps one duty with one of the live controllers. The one that the duty falls to by rendezvous takes it
 * ahead of need, so that the former owner's lease is over by then; while there is work it has the register
 * confirm it. Lives on the loop.
 */
public final class LeaseManager {
    private static final long CHECK_PERIOD_NANOS = 200_000_000;
    /**
     * For so long after its start, or after it was cut off, a controller may not yet be connected to others
     * that live.
     */
    private static final long DISCOVERY_NANOS = 1_500_000_000;

    /** Told when the duty begins and ends here. */
    public interface SingletonRole {
        /** @param token higher than any former owner's */
        void onAcquired(long token);

        void onLost();
    }

    private final EventLoop loop;
    private final RegisterClient register;
    private final LeaseHolderMonitor holders;
    private final QuorumContactMonitor quorum;
    private final String key;
    private final String ownAddress;
    private final String holderName;
    private final OwnershipLease lease;
    private final BooleanSupplier hasWork;
    private final SingletonRole role;
    private boolean requestPending;
    private boolean active;
    /** When this process became the owner under its present token, and under which one. */
    private long ownerSinceNanos;

    private long ownerToken = -1;

    /** @param holderName unique for this start of this process, ending in {@code @} and its address */
    public LeaseManager(
            EventLoop loop,
            RegisterClient register,
            LeaseHolderMonitor owners,
            QuorumContactMonitor quorum,
            String key,
            String ownAddress,
            String holderName,
            long leaseNanos,
            BooleanSupplier hasWork,
            SingletonRole duty) {
        this.loop = loop;
        this.register = register;
        this.holders = owners;
        this.quorum = quorum;
        this.key = key;
        this.ownAddress = ownAddress;
        this.holderName = holderName;
        lease = new OwnershipLease(holderName, leaseNanos);
        this.hasWork = hasWork;
        this.role = duty;
        loop.schedule(CHECK_PERIOD_NANOS, this::check);
    }

    /** Name under which orders go out. */
    public String holderName() {
        return holderName;
    }

    /** Whether an order may be sent now; to be asked before each one. */
    public boolean mayAct() {
        return lease.mayAct(loop.nanoTime());
    }

    /** An engine has seen a higher token. */
    public void onFenced() {
        if (lease.state().isGranted()) {
            lease.release();
            updateRole();
        }
    }

    /** Looks at once whether there is work, instead of at the next turn. */
    public void wake() {
        loop.execute(this::evaluate);
    }

    private void check() {
        loop.schedule(CHECK_PERIOD_NANOS, this::check);
        evaluate();
    }

    private void evaluate() {
        lease.onTimer(loop.nanoTime());
        if (lease.state() == LeaseState.LOST) {
            lease.release();
        }
        if (!requestPending) {
            requestIfDue();
        }
        updateRole();
    }

    private void requestIfDue() {
        boolean works = hasWork.getAsBoolean();
        switch (lease.state()) {
            case UNCLAIMED -> {
                boolean owner = isOwner(register.committedState());
                if (owner ? works : isElected()) {
                    claim();
                }
            }
            case AWAITING_EXPIRY, OWNED -> {
                if (works && loop.nanoTime() - lease.confirmByNanos() >= 0) {
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
    private boolean isElected() {
        Lease known = register.committedState().owners().get(key);
        if (known != null && holders.isAlive(known.holder(), loop.nanoTime()) || isDiscovering()) {
            return false;
        }
        RendezvousAssignment assignment = new RendezvousAssignment(holders.candidates(), List.of(key));
        return assignment.ownerOf(key).filter(ownAddress::equals).isPresent();
    }

    private boolean isDiscovering() {
        return !quorum.hasContact() || !quorum.hasContactFor(DISCOVERY_NANOS) && !holders.allControllersConnected();
    }

    private void claim() {
        requestPending = true;
        lease.beginClaim();
        long askedAt = loop.nanoTime();
        String[] former = new String[1];
        register.change(state -> {
                    Lease before = state.owners().get(key);
                    former[0] = before == null ? null : before.holder();
                    return StateChanges.takeOwnership(state, key, holderName);
                })
                .whenComplete((state, failure) -> {
                    requestPending = false;
                    if (failure != null) {
                        lease.onClaimFailed();
                        return;
                    }
                    onClaimed(state.owners().get(key), former[0], askedAt);
                });
    }

    private void onClaimed(Lease taken, String former, long askedAt) {
        long now = loop.nanoTime();
        if (taken == null || !taken.holder().equals(holderName)) {
            lease.onClaimFailed();
            return;
        }
        if (taken.token() != ownerToken) {
            ownerToken = taken.token();
            ownerSinceNanos = former == null ? now - lease.takeoverWaitNanos() : now;
        }
        boolean waitedOut = now - ownerSinceNanos >= lease.takeoverWaitNanos();
        lease.onClaimAccepted(taken.token(), waitedOut ? Optional.empty() : Optional.of("another"), askedAt, now);
        Logger.info("{} owned under token {}", key, taken.token());
        updateRole();
    }

    private void confirm() {
        requestPending = true;
        long askedAt = loop.nanoTime();
        register.read().whenComplete((state, failure) -> {
            requestPending = false;
            if (failure == null) {
                Lease shown = state.owners().get(key);
                if (shown != null) {
                    lease.onRegisterRead(shown.holder(), shown.token(), askedAt);
                }
            }
            updateRole();
        });
    }

    private void updateRole() {
        boolean may = mayAct();
        if (may && !active) {
            active = true;
            role.onAcquired(lease.token());
        } else if (!may && active) {
            active = false;
            role.onLost();
        }
    }
}
