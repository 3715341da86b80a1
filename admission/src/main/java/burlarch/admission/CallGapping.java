package burlarch.admission;

import java.util.Arrays;

/**
 * Rate-based call gapping throttle γ_g of Kovács's paper. For each tenant it keeps decaying estimates of the
 * offered and the admitted rate. It admits an offer while the tenant's provisional rate stays within its bound:
 * the tenant's share of the capacity plus a part of the capacity that the other tenants leave unused.
 *
 * <p>Symbols of the paper: capacity c, window W, time constant T = W / c, arrival indicator χ, offered rate ρ,
 * admitted rate a, bound g. Rates are per second. Not thread-safe.
 */
public final class CallGapping {
    private final double[] shareOf;
    final double[] offered;
    final double[] admitted;
    private long lastOfferNanos;
    private double lastOfferedTotal;
    private double lastCapacity;
    private boolean lastOfferWithinShare;

    /** @param shares one for each tenant, scaled to a sum of one; offers of other tenants have no share */
    public CallGapping(double[] shares) {
        int count = shares.length;
        double sum = Arrays.stream(shares).map(share -> Math.max(0, share)).sum();
        shareOf = new double[count + 1];
        Arrays.setAll(shareOf, i -> sum > 0 && i < count ? Math.max(0, shares[i]) / sum : i < count ? 1.0 / count : 0);
        shareOf[count] = count == 0 ? 1 : 0;
        offered = new double[count + 1];
        admitted = new double[count + 1];
    }

    /** The paper's rate estimator: λ̂ := χ/T + max{0, λ̂ − gap·λ̂/T}, where the gap is the elapsed time. */
    public static double nextRate(double estimate, double arrivals, double elapsedSeconds, double timeConstant) {
        return arrivals / timeConstant + Math.max(0, estimate - elapsedSeconds * estimate / timeConstant);
    }

    /**
     * Decides on one offer. The T of this offer is used to update the estimates of all tenants.
     *
     * @param tenant index into the shares; any other value stands for a tenant without a share
     * @param capacity c, per second
     * @param windowOffers W of the offer's priority, in offers
     * @return whether the offer is admitted
     */
    public boolean offer(int tenant, double capacity, double windowOffers, long nowNanos) {
        int index = tenant >= 0 && tenant < shareOf.length - 1 ? tenant : shareOf.length - 1;
        double timeConstant = windowOffers / capacity;
        double elapsedSeconds = Math.max(0, nowNanos - lastOfferNanos) * 1e-9;
        lastOfferNanos = nowNanos;
        // T·â is the number of recently admitted offers. When c falls, T grows: an unscaled â would overstate
        // that number and take many of the longer T to decay, while nothing is sent that could prove recovery.
        double capacityRatio = Math.min(1, lastCapacity > 0 ? capacity / lastCapacity : 1);
        lastCapacity = capacity;
        double usedShares = 0;
        double totalOffered = 0;
        double provisionalRate = 0;
        for (int other = 0; other < shareOf.length; other++) {
            double arrivals = other == index ? 1 : 0;
            offered[other] = nextRate(offered[other], arrivals, elapsedSeconds, timeConstant);
            admitted[other] *= capacityRatio;
            if (other == index) {
                provisionalRate = nextRate(admitted[other], 1, elapsedSeconds, timeConstant);
            }
            admitted[other] = nextRate(admitted[other], 0, elapsedSeconds, timeConstant);
            usedShares += Math.min(shareOf[other] * capacity, offered[other]);
            totalOffered += offered[other];
        }
        lastOfferedTotal = totalOffered;
        lastOfferWithinShare = offered[index] <= shareOf[index] * capacity;
        if (provisionalRate > rateBound(index, capacity, usedShares, totalOffered)) {
            return false;
        }
        admitted[index] = provisionalRate;
        return true;
    }

    /** Reverts an offer that was admitted {@code ageSeconds} ago and of which nothing was sent. */
    public void withdraw(int tenant, double capacity, double windowOffers, double ageSeconds) {
        int index = tenant >= 0 && tenant < shareOf.length - 1 ? tenant : shareOf.length - 1;
        double timeConstant = windowOffers / capacity;
        double remainingRate = nextRate(1 / timeConstant, 0, ageSeconds, timeConstant);
        admitted[index] = Math.max(0, admitted[index] - remainingRate);
    }

    /**
     * The bound g_i. Where all offers fit in c, or the tenant is within its share, the minimum in the paper's
     * formula is the offered rate. It is returned directly, as rounding or a split above one would reject the
     * offer; this also covers ρ = u, where the formula divides by zero.
     */
    private double rateBound(int tenant, double capacity, double usedShares, double totalOffered) {
        double guaranteed = shareOf[tenant] * capacity;
        if (offered[tenant] <= guaranteed || totalOffered <= capacity) {
            return offered[tenant];
        }
        return guaranteed
                + (offered[tenant] - guaranteed) * Math.max(0, capacity - usedShares) / (totalOffered - usedShares);
    }

    /** Returns ρ̂_i, the offered rate of a tenant as of the last offer. */
    public double offered(int tenant) {
        return offered[tenant >= 0 && tenant < shareOf.length - 1 ? tenant : shareOf.length - 1];
    }

    /** Returns ρ, the sum of all offered rates as of the last offer. */
    public double offeredTotal() {
        return lastOfferedTotal;
    }

    /** Returns whether the tenant of the last offer was within its guaranteed share. */
    public boolean wasWithinShare() {
        return lastOfferWithinShare;
    }
}
