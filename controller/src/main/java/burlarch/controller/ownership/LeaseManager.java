package burlarch.controller.ownership;

import burlarch.controller.peers.ControllerMembershipView;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.QuorumContactMonitor;
import burlarch.controller.register.RegisterClient;
import burlarch.controller.state.ChangeResult;
import burlarch.controller.state.Lease;
import burlarch.controller.state.StateChanges;
import burlarch.controller.state.SystemState;
import burlarch.coordination.ownership.LeaseState;
import burlarch.coordination.ownership.OwnershipLease;
import burlarch.coordination.ownership.RendezvousAssignment;
import burlarch.transport.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * Manager of the lease of one singleton role: claims, confirms and releases it for this process. Runs on the event
 * loop.
 *
 * <p>The controller that rendezvous hashing assigns the role to claims the lease before there is work, so that the
 * previous holder's lease has expired when work arrives. While there is work, the holder confirms the lease by reading
 * the register.
 *
 * <table>
 * <caption>Actions by state of the lease ({@link LeaseState})</caption>
 * <tr><th>state</th><th>action at each check</th><th>to</th></tr>
 * <tr><td>UNCLAIMED</td><td>claim, if the register names this process and there is work, or if the role is assigned to
 * this controller</td><td>CLAIMING</td></tr>
 * <tr><td>CLAIMING</td><td>wait for the register's result</td><td>AWAITING_EXPIRY, OWNED; UNCLAIMED if the claim
 * failed</td></tr>
 * <tr><td>AWAITING_EXPIRY, OWNED</td><td>there is work and confirmation is due: read the register</td><td>OWNED; LOST
 * if another holder is shown or a lease passed without confirmation; UNCLAIMED if an engine rejects the token</td></tr>
 * <tr><td>LOST</td><td>release, then act as in UNCLAIMED</td><td>UNCLAIMED</td></tr>
 * </table>
 *
 * <p>Invariant <em>one holder acts</em>: see {@link OwnershipLease}. Invariant <em>one request in flight</em>: this
 * manager has at most one outstanding claim or confirmation.
 */
public final class LeaseManager {
    private static final long CHECK_PERIOD_NANOS = 200_000_000;
    /** Time after a start or a network partition during which connections to live controllers may still be missing. */
    private static final long DISCOVERY_NANOS = 1_500_000_000;

    private static final long NO_TOKEN = -1;

    /** The request to the register that is outstanding. */
    private enum Request {
        NONE,
        CLAIM,
        CONFIRMATION
    }

    /** The state that the role was last notified of. */
    private enum RoleState {
        INACTIVE,
        ACTIVE
    }

    /**
     * The lease to manage and the process that claims it.
     *
     * @param roleKey key of the role in the register
     * @param ownAddress IP:PORT of this process
     * @param processName unique for this start of this process
     * @param leaseNanos how long a lease lasts after its last confirmation
     */
    public record Settings(String roleKey, String ownAddress, String processName, long leaseNanos) {}

    private final EventLoop loop;
    private final RegisterClient register;
    private final LeaseHolderMonitor holderMonitor;
    private final QuorumContactMonitor quorumContact;
    private final String roleKey;
    private final String ownAddress;
    private final String holderName;
    private final OwnershipLease lease;
    private final SingletonRole role;
    private Request request = Request.NONE;
    private RoleState roleState = RoleState.INACTIVE;
    /** The fencing token with which this process last became the holder; {@link #NO_TOKEN} if it never did. */
    private long ownToken = NO_TOKEN;

    /** Time at which this process last became the holder, moved back if there was no lease to wait out. */
    private long holderSinceNanos;

    /** Schedules the first check. */
    public LeaseManager(
            EventLoop loop,
            RegisterClient register,
            ControllerPeers peers,
            ControllerMembershipView membershipView,
            QuorumContactMonitor quorumContact,
            Settings settings,
            SingletonRole role) {
        this.loop = loop;
        this.register = register;
        holderMonitor = new LeaseHolderMonitor(peers, membershipView, settings.ownAddress());
        this.quorumContact = quorumContact;
        roleKey = settings.roleKey();
        ownAddress = settings.ownAddress();
        holderName = LeaseHolderMonitor.holderName(settings.processName(), settings.ownAddress());
        lease = new OwnershipLease(holderName, settings.leaseNanos());
        this.role = role;
        loop.schedule(CHECK_PERIOD_NANOS, this::check);
    }

    /** The holder name of this process. */
    public String holderName() {
        return holderName;
    }

    /** Whether the role may act now. Must be checked before each action. */
    public boolean mayAct() {
        return lease.mayAct(loop.nanoTime());
    }

    /** Releases the lease after an engine rejected its fencing token because it has seen a higher one. */
    public void onFenced() {
        if (lease.state().isGranted()) {
            lease.release();
            updateRole();
        }
    }

    /** Schedules a check on the event loop now, instead of at the next period. */
    public void wake() {
        loop.execute(this::checkLease);
    }

    private void check() {
        loop.schedule(CHECK_PERIOD_NANOS, this::check);
        checkLease();
    }

    private void checkLease() {
        lease.onTimer(loop.nanoTime());
        if (lease.state() == LeaseState.LOST) {
            lease.release();
        }
        if (request == Request.NONE) {
            requestIfDue();
        }
        updateRole();
    }

    private void requestIfDue() {
        boolean hasWork = role.hasWork();
        switch (lease.state()) {
            case UNCLAIMED -> {
                boolean isCurrentHolder = isHolder(register.committedState());
                if (isCurrentHolder ? hasWork : isAssignedHere()) {
                    claim();
                }
            }
            case AWAITING_EXPIRY, OWNED -> {
                if (hasWork && loop.nanoTime() - lease.confirmByNanos() >= 0) {
                    confirm();
                }
            }
            default -> {}
        }
    }

    private boolean isHolder(SystemState state) {
        Lease current = state.owners().get(roleKey);
        return current != null && current.holder().equals(holderName);
    }

    /**
     * Whether this controller should take the role: its holder is not alive, and rendezvous hashing over the live
     * controllers selects this one. A controller that is partitioned from the others can't know this and returns false.
     */
    private boolean isAssignedHere() {
        Lease current = register.committedState().owners().get(roleKey);
        if (current != null && holderMonitor.isAlive(current.holder(), loop.nanoTime()) || isDiscovering()) {
            return false;
        }
        RendezvousAssignment assignment = new RendezvousAssignment(holderMonitor.candidates(), List.of(roleKey));
        return assignment.ownerOf(roleKey).filter(ownAddress::equals).isPresent();
    }

    /** Whether this controller may not yet be connected to all live controllers. */
    private boolean isDiscovering() {
        return !quorumContact.hasContact()
                || !quorumContact.hasContactFor(DISCOVERY_NANOS) && !holderMonitor.allControllersConnected();
    }

    /** The claim as a state change; records the previous holder in the state that it was last applied to. */
    private final class Claim implements Function<SystemState, ChangeResult> {
        private Optional<String> previousHolder = Optional.empty();

        @Override
        public ChangeResult apply(SystemState state) {
            previousHolder = Optional.ofNullable(state.owners().get(roleKey)).map(Lease::holder);
            return StateChanges.takeOwnership(state, roleKey, holderName);
        }
    }

    private void claim() {
        request = Request.CLAIM;
        lease.beginClaim();
        long requestedAtNanos = loop.nanoTime();
        Claim claim = new Claim();
        CompletableFuture<SystemState> result = register.change(claim);
        result.whenComplete((state, failure) -> {
            request = Request.NONE;
            if (failure != null) {
                lease.onClaimFailed();
                return;
            }
            onClaimed(state.owners().get(roleKey), claim.previousHolder, requestedAtNanos);
        });
    }

    private void onClaimed(Lease claimed, Optional<String> previousHolder, long requestedAtNanos) {
        long now = loop.nanoTime();
        if (claimed == null || !claimed.holder().equals(holderName)) {
            lease.onClaimFailed();
            return;
        }
        if (claimed.token() != ownToken) {
            ownToken = claimed.token();
            // Without a previous holder there is no lease whose expiry must be awaited.
            holderSinceNanos = previousHolder.isEmpty() ? now - lease.takeoverWaitNanos() : now;
        }
        boolean previousLeaseExpired = now - holderSinceNanos >= lease.takeoverWaitNanos();
        lease.onClaimAccepted(
                claimed.token(),
                previousLeaseExpired ? Optional.empty() : Optional.of("another"),
                requestedAtNanos,
                now);
        Logger.info("lease claimed: role={} token={}", roleKey, claimed.token());
        updateRole();
    }

    private void confirm() {
        request = Request.CONFIRMATION;
        long requestedAtNanos = loop.nanoTime();
        register.read().whenComplete((state, failure) -> {
            request = Request.NONE;
            if (failure == null) {
                Lease confirmed = state.owners().get(roleKey);
                if (confirmed != null) {
                    lease.onRegisterRead(confirmed.holder(), confirmed.token(), requestedAtNanos);
                }
            }
            updateRole();
        });
    }

    /** Notifies the role if {@link #mayAct} has changed. Only this method changes {@link #roleState}. */
    private void updateRole() {
        RoleState next = mayAct() ? RoleState.ACTIVE : RoleState.INACTIVE;
        if (next == roleState) {
            return;
        }
        roleState = next;
        if (next == RoleState.ACTIVE) {
            role.onAcquired(lease.token());
        } else {
            role.onLost();
        }
    }
}
