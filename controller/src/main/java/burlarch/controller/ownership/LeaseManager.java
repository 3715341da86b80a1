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
 * Keeps the lease of one singleton role with one live controller. Runs on the event loop.
 *
 * <p>The controller that rendezvous hashing assigns the role to claims the lease ahead of need, so that the former
 * holder's lease has expired by the time there is work. While there is work, the holder has the register confirm the
 * lease.
 *
 * <table>
 * <caption>What happens in which state of the lease ({@link LeaseState})</caption>
 * <tr><th>state</th><th>at each check</th><th>to</th></tr>
 * <tr><td>UNCLAIMED</td><td>the register names this process and there is work, or the role is assigned to this
 * controller: claim</td><td>CLAIMING</td></tr>
 * <tr><td>CLAIMING</td><td>wait for the register's result</td><td>AWAITING_EXPIRY, OWNED; UNCLAIMED if the claim
 * failed</td></tr>
 * <tr><td>AWAITING_EXPIRY, OWNED</td><td>there is work and confirmation is due: read the register</td><td>OWNED; LOST
 * if another holder is shown or a lease passed without confirmation; UNCLAIMED if an engine rejects the token</td></tr>
 * <tr><td>LOST</td><td>release, then as UNCLAIMED</td><td>UNCLAIMED</td></tr>
 * </table>
 *
 * <p>Invariant <em>one holder acts</em>: see {@link OwnershipLease}. Invariant <em>one request</em>: at most one claim
 * or confirmation of this manager is in flight.
 */
public final class LeaseManager {
    private static final long CHECK_PERIOD_NANOS = 200_000_000;
    /** How long after its start, or after it was cut off, a controller may not yet be connected to all live others. */
    private static final long DISCOVERY_NANOS = 1_500_000_000;

    private static final long NO_TOKEN = -1;

    /** The request to the register that is in flight. */
    private enum Request {
        NONE,
        CLAIM,
        CONFIRMATION
    }

    /** What the role was notified of last. */
    private enum RoleState {
        INACTIVE,
        ACTIVE
    }

    /**
     * Which lease, and who claims it.
     *
     * @param roleKey key of the role in the register
     * @param ownAddress IP:PORT of this process
     * @param processName unique for this start of this process
     * @param leaseNanos how long a lease lasts after its last confirmation
     */
    public record Settings(String roleKey, String ownAddress, String processName, long leaseNanos) {}

    private final EventLoop loop;
    private final RegisterClient register;
    private final LeaseHolderMonitor holders;
    private final QuorumContactMonitor quorum;
    private final String roleKey;
    private final String ownAddress;
    private final String holderName;
    private final OwnershipLease lease;
    private final SingletonRole role;
    private Request request = Request.NONE;
    private RoleState roleState = RoleState.INACTIVE;
    /** The token under which this process became the holder last, and when. */
    private long ownToken = NO_TOKEN;

    private long holderSinceNanos;

    /** Schedules the first check. */
    public LeaseManager(
            EventLoop loop,
            RegisterClient register,
            ControllerPeers peers,
            ControllerMembershipView membershipView,
            QuorumContactMonitor quorum,
            Settings settings,
            SingletonRole role) {
        this.loop = loop;
        this.register = register;
        holders = new LeaseHolderMonitor(peers, membershipView, settings.ownAddress());
        this.quorum = quorum;
        roleKey = settings.roleKey();
        ownAddress = settings.ownAddress();
        holderName = LeaseHolderMonitor.holderName(settings.processName(), settings.ownAddress());
        lease = new OwnershipLease(holderName, settings.leaseNanos());
        this.role = role;
        loop.schedule(CHECK_PERIOD_NANOS, this::check);
    }

    /** The name of this process as the holder. */
    public String holderName() {
        return holderName;
    }

    /** Whether the role may act now; to be asked before each act. */
    public boolean mayAct() {
        return lease.mayAct(loop.nanoTime());
    }

    /** An engine has rejected this holder's token because it has seen a higher one. */
    public void onFenced() {
        if (lease.state().isGranted()) {
            lease.release();
            updateRole();
        }
    }

    /** Checks soon whether there is work, instead of at the next period. */
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
        if (request == Request.NONE) {
            requestIfDue();
        }
        updateRole();
    }

    private void requestIfDue() {
        boolean work = role.hasWork();
        switch (lease.state()) {
            case UNCLAIMED -> {
                boolean holder = isHolder(register.committedState());
                if (holder ? work : isAssignedHere()) {
                    claim();
                }
            }
            case AWAITING_EXPIRY, OWNED -> {
                if (work && loop.nanoTime() - lease.confirmByNanos() >= 0) {
                    confirm();
                }
            }
            default -> {}
        }
    }

    private boolean isHolder(SystemState state) {
        Lease known = state.owners().get(roleKey);
        return known != null && known.holder().equals(holderName);
    }

    /**
     * Whether the role falls to this controller: its holder is lost, and rendezvous hashing over the live controllers
     * selects this one. A controller that is cut off from the others can't tell.
     */
    private boolean isAssignedHere() {
        Lease known = register.committedState().owners().get(roleKey);
        if (known != null && holders.isAlive(known.holder(), loop.nanoTime()) || isDiscovering()) {
            return false;
        }
        RendezvousAssignment assignment = new RendezvousAssignment(holders.candidates(), List.of(roleKey));
        return assignment.ownerOf(roleKey).filter(ownAddress::equals).isPresent();
    }

    /** Whether this controller may not yet know all live controllers. */
    private boolean isDiscovering() {
        return !quorum.hasContact() || !quorum.hasContactFor(DISCOVERY_NANOS) && !holders.allControllersConnected();
    }

    /** The claim as a change of the state; remembers the holder before it when it was applied last. */
    private final class Claim implements Function<SystemState, ChangeResult> {
        private Optional<String> formerHolder = Optional.empty();

        @Override
        public ChangeResult apply(SystemState state) {
            formerHolder = Optional.ofNullable(state.owners().get(roleKey)).map(Lease::holder);
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
            onClaimed(state.owners().get(roleKey), claim.formerHolder, requestedAtNanos);
        });
    }

    private void onClaimed(Lease claimed, Optional<String> formerHolder, long requestedAtNanos) {
        long now = loop.nanoTime();
        if (claimed == null || !claimed.holder().equals(holderName)) {
            lease.onClaimFailed();
            return;
        }
        if (claimed.token() != ownToken) {
            ownToken = claimed.token();
            // Without a former holder there is no lease to wait out.
            holderSinceNanos = formerHolder.isEmpty() ? now - lease.takeoverWaitNanos() : now;
        }
        boolean waitedOut = now - holderSinceNanos >= lease.takeoverWaitNanos();
        lease.onClaimAccepted(
                claimed.token(), waitedOut ? Optional.empty() : Optional.of("another"), requestedAtNanos, now);
        Logger.info("lease claimed: role={} token={}", roleKey, claimed.token());
        updateRole();
    }

    private void confirm() {
        request = Request.CONFIRMATION;
        long requestedAtNanos = loop.nanoTime();
        register.read().whenComplete((state, failure) -> {
            request = Request.NONE;
            if (failure == null) {
                Lease shown = state.owners().get(roleKey);
                if (shown != null) {
                    lease.onRegisterRead(shown.holder(), shown.token(), requestedAtNanos);
                }
            }
            updateRole();
        });
    }

    /** Notifies the role when {@link #mayAct} has changed; the one place where the role's state changes. */
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
