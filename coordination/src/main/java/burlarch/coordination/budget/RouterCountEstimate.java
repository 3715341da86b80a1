package burlarch.coordination.budget;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * How much of a budget that all routers share this one may use. Cautious: the count of the others rises at
 * once when one appears and falls only long after one was last seen.
 *
 * <p>Why the shares never sum to more than the whole, in any span of the budget's window. Let W be that
 * window, L the limit of contact and S the time in which routers that are in contact with a quorum learn of
 * each other. A router uses a full share, (1 - r) / count, only if it had contact within L and has had it for
 * L + S + W; else it uses a part of the reserve r. Let n routers use a full share in a span of length W, A
 * and B among them.
 *
 * <p>(1) When B begins to, it has been in contact for L + S + W. By L + S of that, A, if it uses a full share
 * at all, has had contact after B came and so has learned of it: A counts B for W before B's first full
 * share, so in every span that holds a full share of both. (2) If B ends or is cut off, its last full share
 * comes at most L after its last contact, and A loses sight of it no earlier than S before that contact
 * ended. The last full share leaves the span W later, and A counts B for W + L + S after it went out of
 * sight. By (1) and (2) each of the n counts n or more in the whole span, and the full shares sum to n (1 -
 * r) / n at most. The others' sum to r as long as no more of them are new or cut off in a span than the
 * larger of the count that they heard and {@link BudgetSettings#minReserveRouters()}.
 *
 * <p>At the first start of the whole fleet nobody has used anything, so those that have contact within S need
 * only wait for 2 S, when all of them have learned of each other.
 */
public final class RouterCountEstimate {
    private final BudgetSettings settings;
    /** Every other router by process, with when it went out of sight; null while it is in sight. */
    private final Map<Long, Long> disappearedAtByProcess = new HashMap<>();

    private int largestReportedCount;
    private final long startedAtNanos;
    private final boolean firstStart;
    private boolean contacted;
    private long contactSinceNanos;
    private long lastContactNanos;

    /**
     * @param firstStart whether the whole fleet starts for the first time, all within the time of spreading
     */
    public RouterCountEstimate(BudgetSettings settings, boolean firstStart, long now) {
        this.settings = settings;
        this.firstStart = firstStart;
        startedAtNanos = now;
    }

    /** Another router came in sight; {@code process} is unique to one start of one router. */
    public void onRouterAppeared(long process, long now) {
        forgetDisappeared(now);
        if (disappearedAtByProcess.size() < settings.maxRouters() || disappearedAtByProcess.containsKey(process)) {
            disappearedAtByProcess.put(process, null);
        }
    }

    /** Another router went out of sight, whether it ended or is cut off. */
    public void onRouterDisappeared(long process, long now) {
        if (disappearedAtByProcess.containsKey(process) && disappearedAtByProcess.get(process) == null) {
            disappearedAtByProcess.put(process, now);
        }
    }

    /** Another member told how many routers it counts, this one included. */
    public void onReportedCount(int count) {
        largestReportedCount = Math.min(settings.maxRouters(), Math.max(largestReportedCount, count));
    }

    /** This router heard from a controller that has a quorum. */
    public void onQuorumContact(long now) {
        if (!contacted || now - lastContactNanos >= settings.contactTimeoutNanos()) {
            contactSinceNanos = now;
        }
        contacted = true;
        lastContactNanos = now;
    }

    /** How many routers may share the budget now, this one included. */
    public int count(long now) {
        forgetDisappeared(now);
        return disappearedAtByProcess.size() + 1;
    }

    /** Part of the whole budget, 0 to 1, that this router may use in the present window. */
    public double budgetFraction(long now) {
        int count = count(now);
        if (isEstablished(now)) {
            return (1 - settings.reserveFraction()) / count;
        }
        int known = contacted ? Math.max(count, largestReportedCount) : settings.maxRouters();
        return settings.reserveFraction() / Math.max(settings.minReserveRouters(), known);
    }

    /** Whether this router has been in contact for long enough that all in contact count it. */
    public boolean isEstablished(long now) {
        return contacted
                && now - lastContactNanos < settings.contactTimeoutNanos()
                && now - contactSinceNanos >= establishingNanos();
    }

    private long establishingNanos() {
        boolean withAllOthers = firstStart && contactSinceNanos - startedAtNanos < settings.disseminationNanos();
        return withAllOthers ? 2 * settings.disseminationNanos() : settings.retentionNanos();
    }

    private void forgetDisappeared(long now) {
        Iterator<Long> goneAt = disappearedAtByProcess.values().iterator();
        while (goneAt.hasNext()) {
            Long gone = goneAt.next();
            if (gone != null && now - gone >= settings.retentionNanos()) {
                goneAt.remove();
            }
        }
    }
}
