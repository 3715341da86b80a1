package burlarch.coordination.ownership;

import burlarch.coordination.ownership.LeaseState.Event;
import java.util.Optional;

/**
 * One process's lease on a singleton role, which only one process may perform at a time. The register names the owner
 * and issues the fencing token; this class decides when the owner may act. See {@link LeaseState} for the states and
 * their transitions.
 *
 * <p>Invariant OneLeaseApart: at least one complete lease passes between the last act of an owner and the first act
 * of the next one. The owner acts only for a quarter of a lease after it <em>requested</em> the view of the register
 * that last showed it as owner. The next owner's claim is accepted after that view was formed, and the next owner
 * waits for that quarter plus a complete lease after it learned of the acceptance. So the previous owner has stopped
 * one lease earlier.
 *
 * <p>Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class OwnershipLease {
    /**
     * The owner acts for a lease divided by this without reading the register again. The next owner waits for that
     * time in addition to the lease.
     */
    private static final int ACTING_FRACTION_DIVISOR = 4;

    private final String self;
    private final long leaseNanos;
    private final long actingNanos;
    private LeaseState state = LeaseState.UNCLAIMED;
    private long token;
    private long grantedAtNanos;
    private long confirmedAtNanos;

    /**
     * Creates a lease that is not claimed.
     *
     * @param self how the register names this process; a new name for each start, so that a restarted process waits
     *     until the lease of its former run has expired
     * @param leaseNanos length of a lease in nanoseconds, the same for all processes
     */
    public OwnershipLease(String self, long leaseNanos) {
        this.self = self;
        this.leaseNanos = leaseNanos;
        actingNanos = leaseNanos / ACTING_FRACTION_DIVISOR;
    }

    /**
     * Returns the nanoseconds that a new owner waits after its claim was accepted before it acts: a complete lease
     * plus the acting time.
     */
    public long takeoverWaitNanos() {
        return leaseNanos + actingNanos;
    }

    /**
     * Records that a claim is sent to the register now. Returns false, without effect, unless the state is
     * {@link LeaseState#UNCLAIMED}.
     */
    public boolean beginClaim() {
        if (state != LeaseState.UNCLAIMED) {
            return false;
        }
        state = state.after(Event.CLAIM_SENT);
        return true;
    }

    /**
     * Records that the register accepted the claim. Has no effect unless a claim is pending.
     *
     * @param grantedToken the fencing token, higher than every token before it
     * @param previousOwner the owner that may still act; empty when there is none
     * @param requestedAtNanos when this process sent the claim
     * @param nowNanos when the response was received
     */
    public void onClaimAccepted(
            long grantedToken, Optional<String> previousOwner, long requestedAtNanos, long nowNanos) {
        if (state != LeaseState.CLAIMING) {
            return;
        }
        token = grantedToken;
        grantedAtNanos = nowNanos;
        confirmedAtNanos = requestedAtNanos;
        boolean free = previousOwner.isEmpty() || previousOwner.get().equals(self);
        state = state.after(free ? Event.GRANTED_FREE : Event.GRANTED_IN_USE);
    }

    /**
     * Records that the register did not accept the claim, or did not respond. Has no effect unless a claim is
     * pending.
     */
    public void onClaimFailed() {
        if (state == LeaseState.CLAIMING) {
            state = state.after(Event.CLAIM_REJECTED);
        }
    }

    /**
     * Records what a read of the register from a quorum returned. A read requested before the claim has no effect.
     *
     * @param owner the owner that the register names
     * @param readToken the owner's token
     * @param requestedAtNanos when this process requested that read
     */
    public void onRegisterRead(String owner, long readToken, long requestedAtNanos) {
        if (!state.isGranted()) {
            return;
        }
        if (readToken > token || readToken == token && !self.equals(owner)) {
            state = state.after(Event.SUPERSEDED);
        } else if (readToken == token && requestedAtNanos - confirmedAtNanos > 0) {
            confirmedAtNanos = requestedAtNanos;
        }
    }

    /** Applies the passing of time. Call it before relying on {@link #state()}. */
    public void onTimer(long nowNanos) {
        if (state.isGranted() && nowNanos - confirmedAtNanos >= leaseNanos) {
            state = state.after(Event.EXPIRED);
        } else if (state == LeaseState.AWAITING_EXPIRY && nowNanos - grantedAtNanos >= takeoverWaitNanos()) {
            state = state.after(Event.WAIT_ELAPSED);
        }
    }

    /** Releases the ownership, or acknowledges its loss. */
    public void release() {
        if (state != LeaseState.UNCLAIMED) {
            state = state.after(Event.RELEASED);
        }
    }

    /** Returns whether this process may act as owner at this time. Check it before each act. */
    public boolean mayAct(long nowNanos) {
        return state == LeaseState.OWNED && nowNanos - confirmedAtNanos < actingNanos;
    }

    /**
     * Returns when the register should be read again so that the owner does not have to pause, in nanoseconds of the
     * monotonic clock.
     */
    public long confirmByNanos() {
        return confirmedAtNanos + actingNanos / 2;
    }

    /** Returns the present state. */
    public LeaseState state() {
        return state;
    }

    /** Returns the fencing token that the owner's requests carry; undefined before a claim was accepted. */
    public long token() {
        return token;
    }
}
