package burlarch.coordination.ownership;

import burlarch.coordination.ownership.LeaseState.Event;
import java.util.Optional;

/**
 * One process's lease on a singleton role, which only one process may perform at a time. The register names the
 * owner and issues the fencing token; this class decides when the owner may act. See {@link LeaseState} for the
 * states and their transitions.
 *
 * <p>Invariant OneLeaseApart: between the last act of an owner and the first act of the next one lies a
 * complete lease. The owner acts only for a quarter of a lease after it <em>requested</em> the view of the
 * register that last showed it as owner. The next owner's claim is accepted after that view was formed, and the
 * next owner waits that quarter and a complete lease from when it learned of the acceptance. So the previous
 * owner has stopped one lease before.
 *
 * <p>Times are nanoseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class OwnershipLease {
    /**
     * The owner acts for this fraction of a lease without a new look at the register. The next owner waits it
     * out in addition to the lease.
     */
    private static final int ACTING_FRACTION_DIVISOR = 4;

    private final String self;
    private final long leaseNanos;
    private final long actNanos;
    private LeaseState state = LeaseState.UNCLAIMED;
    private long token;
    private long grantedAtNanos;
    private long confirmedAtNanos;

    /**
     * Creates a lease that is not claimed.
     *
     * @param self how the register names this process; a new name for each start, so that a restarted process
     *     waits its former self out
     * @param leaseNanos length of a lease, the same for all processes
     */
    public OwnershipLease(String self, long leaseNanos) {
        this.self = self;
        this.leaseNanos = leaseNanos;
        actNanos = leaseNanos / ACTING_FRACTION_DIVISOR;
    }

    /**
     * How long a new owner waits from its accepted claim before it acts: a complete lease, and the acting time.
     */
    public long takeoverWaitNanos() {
        return leaseNanos + actNanos;
    }

    /**
     * Notes that a claim is sent to the register now. Returns false, without an effect, unless it is unclaimed
     * here.
     */
    public boolean beginClaim() {
        if (state != LeaseState.UNCLAIMED) {
            return false;
        }
        state = state.after(Event.CLAIM_SENT);
        return true;
    }

    /**
     * Notes that the register accepted the claim. Has no effect unless a claim is under way.
     *
     * @param grantedToken higher than each token before it
     * @param previousOwner the owner that may still act; empty when there is none
     * @param requestedAtNanos when this process sent the claim
     * @param nowNanos when the response came
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

    /** Notes that the register did not accept the claim, or did not respond. Has no effect without a claim. */
    public void onClaimFailed() {
        if (state == LeaseState.CLAIMING) {
            state = state.after(Event.CLAIM_REJECTED);
        }
    }

    /**
     * Notes what a quorum showed the register to hold. A view that is older than the claim has no effect.
     *
     * @param owner the owner that the register names
     * @param shownToken the owner's token
     * @param requestedAtNanos when this process requested that view
     */
    public void onRegisterRead(String owner, long shownToken, long requestedAtNanos) {
        if (!state.isGranted()) {
            return;
        }
        if (shownToken > token || shownToken == token && !self.equals(owner)) {
            state = state.after(Event.SUPERSEDED);
        } else if (shownToken == token && requestedAtNanos - confirmedAtNanos > 0) {
            confirmedAtNanos = requestedAtNanos;
        }
    }

    /** Lets the time that has passed take effect. To be called before {@link #state()} is relied on. */
    public void onTimer(long nowNanos) {
        if (state.isGranted() && nowNanos - confirmedAtNanos >= leaseNanos) {
            state = state.after(Event.EXPIRED);
        } else if (state == LeaseState.AWAITING_EXPIRY && nowNanos - grantedAtNanos >= takeoverWaitNanos()) {
            state = state.after(Event.WAIT_ELAPSED);
        }
    }

    /** Gives the ownership up, or acknowledges that it was lost. */
    public void release() {
        if (state != LeaseState.UNCLAIMED) {
            state = state.after(Event.RELEASED);
        }
    }

    /** Whether the owner may act at this moment. To be asked before each act. */
    public boolean mayAct(long nowNanos) {
        return state == LeaseState.OWNED && nowNanos - confirmedAtNanos < actNanos;
    }

    /** When the register should be read again, so that the owner never has to pause. */
    public long confirmByNanos() {
        return confirmedAtNanos + actNanos / 2;
    }

    /** The present state. */
    public LeaseState state() {
        return state;
    }

    /** The fencing token that the owner's requests carry; without meaning before a claim was accepted. */
    public long token() {
        return token;
    }
}
