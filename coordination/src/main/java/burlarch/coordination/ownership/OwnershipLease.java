package burlarch.coordination.ownership;

/**
 * One process's part in a duty that only one may do at a time. The register names the holder and gives the
 * fencing token; this decides when the holder may act. Times are nanoseconds of a steady clock.
 *
 * <p>The holder acts only for a time after it <em>asked</em> for the view of the register that last showed it
 * as holder. Whoever takes the duty over does so after that view was formed, and waits that time and a whole
 * lease from its own claim. So a whole lease lies between the acts of the two.
 */
public final class OwnershipLease {
    /**
     * For this part of a lease the holder acts without another look at the register; the next one waits it
     * out too.
     */
    private static final int PART_TO_ACT = 4;

    private final String self;
    private final long leaseNanos;
    private final long actNanos;
    private LeaseState state = LeaseState.UNCLAIMED;
    private long token;
    private long claimedAt;
    private long confirmedAt;

    /**
     * @param self how the register names this process; a new one for each start, so that a restarted process
     *         waits its former self out
     */
    public OwnershipLease(String self, long leaseNanos) {
        this.self = self;
        this.leaseNanos = leaseNanos;
        actNanos = leaseNanos / PART_TO_ACT;
    }

    /** How long a new holder waits from its claim, so that a whole lease lies between the acts of the two. */
    public long takeoverWaitNanos() {
        return leaseNanos + actNanos;
    }

    /** The claim goes to the register now. Returns false where the duty isn't free here. */
    public boolean beginClaim() {
        if (state != LeaseState.UNCLAIMED) {
            return false;
        }
        become(LeaseState.CLAIMING);
        return true;
    }

    /**
     * The register took the claim.
     *
     * @param givenToken higher than any before it
     * @param formerHolder who held the duty before, or null where no one ever did
     * @param askedAt when this process sent the claim
     * @param now when the answer came
     */
    public void onClaimAccepted(long givenToken, String formerHolder, long askedAt, long now) {
        if (state != LeaseState.CLAIMING) {
            return;
        }
        token = givenToken;
        claimedAt = now;
        confirmedAt = askedAt;
        boolean nobodyToWaitFor = formerHolder == null || formerHolder.equals(self);
        become(nobodyToWaitFor ? LeaseState.OWNED : LeaseState.AWAITING_EXPIRY);
    }

    /** The register did not take the claim, or didn't answer. */
    public void onClaimFailed() {
        if (state == LeaseState.CLAIMING) {
            become(LeaseState.UNCLAIMED);
        }
    }

    /**
     * A quorum showed what the register holds.
     *
     * @param askedAt when this process asked for that view
     */
    public void onRegisterRead(String holder, long shownToken, long askedAt) {
        if (!inPossession()) {
            return;
        }
        if (shownToken > token || shownToken == token && !self.equals(holder)) {
            become(LeaseState.LOST);
        } else if (shownToken == token && askedAt - confirmedAt > 0) {
            confirmedAt = askedAt;
        }
    }

    /** Lets time take its effect. */
    public void onTimer(long now) {
        if (inPossession() && now - confirmedAt >= leaseNanos) {
            become(LeaseState.LOST);
        } else if (state == LeaseState.AWAITING_EXPIRY && now - claimedAt >= takeoverWaitNanos()) {
            become(LeaseState.OWNED);
        }
    }

    /** Gives the duty up, or takes note that it was lost. */
    public void release() {
        if (state != LeaseState.UNCLAIMED) {
            become(LeaseState.UNCLAIMED);
        }
    }

    /** Whether an order may be sent at this moment; to be asked before each one. */
    public boolean mayAct(long now) {
        return state == LeaseState.OWNED && now - confirmedAt < actNanos;
    }

    /** When the register should be asked again so that the holder never has to pause. */
    public long confirmByNanos() {
        return confirmedAt + actNanos / 2;
    }

    public LeaseState state() {
        return state;
    }

    /** The fencing token under which orders go out; of no meaning before a claim was taken. */
    public long token() {
        return token;
    }

    private boolean inPossession() {
        return state == LeaseState.AWAITING_EXPIRY || state == LeaseState.OWNED;
    }

    private void become(LeaseState next) {
        if (!state.mayBecome(next)) {
            throw new IllegalStateException(state + " can't become " + next);
        }
        state = next;
    }
}
