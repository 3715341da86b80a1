package burlarch.coordination.budget;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * A conservative estimate of the number of routers, and of the fraction of a shared budget that this router may use.
 * The count rises at once when a router appears and falls only long after one was last seen.
 *
 * <p>A router uses only {@link #count} and {@link #isEstablished}, through {@code RouterCountTracker}, to divide the
 * slack of its retry budget by the number of routers. Only tests call {@link #budgetFraction}.
 *
 * <p>Invariant <em>budget bound</em>: in any window the fractions that all routers use sum to at most the whole.
 *
 * <p>Argument. Let W be {@link BudgetSettings#windowNanos}, C the contact time-out, and D the dissemination time, in
 * which routers that are in contact with a quorum learn of each other. A router uses a full fraction, (1 - r) /
 * count, only if it is <em>established</em>: it had contact within C and has had it for C + D + W. Otherwise it uses
 * a part of the reserve r. Let n routers use a full fraction in one window, A and B among them.
 *
 * <ol>
 *   <li>When B becomes established it has been in contact for C + D + W. Within the first C + D of that, A, if it
 *       uses a full fraction at all, has had contact after B arrived and so has learned of B. So A counts B for W
 *       before B's first full fraction, and in every window that holds a full fraction of both.
 *   <li>If B ends or is partitioned, it uses its last full fraction at most C after its last contact, and A sees B
 *       disappear no earlier than D before that contact ended. The last full fraction leaves the window W later, and
 *       A counts B for W + C + D after it disappeared.
 * </ol>
 *
 * <p>By 1 and 2 each of the n counts n or more in the whole window, so the full fractions sum to n (1 - r) / n at
 * most. The fractions of the others sum to at most r as long as no more of them are new or partitioned in one window
 * than the larger of the count that they were told and {@link BudgetSettings#minReserveRouters()}.
 *
 * <p>At the first start of the whole fleet no router has used any budget. Routers that have contact within D then
 * need to wait for 2 D only, after which all of them have learned of each other.
 *
 * <p>Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class RouterCountEstimate {
    /** Whether the fleet may have had routers before this one started. */
    private enum FleetStart {
        /** All routers start for the first time, within the dissemination time. */
        FIRST,
        /** Other routers may be running and using the budget. */
        LATER
    }

    private final BudgetSettings settings;
    private final FleetStart fleetStart;
    private final long startedAtNanos;
    /** The time at which each other router disappeared, by process id; null while it is seen. */
    private final Map<Long, Long> disappearedAtByProcess = new HashMap<>();

    private int largestReportedCount;
    private boolean hadContact;
    /** Start of the present period in which no gap between contacts has exceeded the time-out. */
    private long contactSinceNanos;

    private long lastContactNanos;

    private RouterCountEstimate(BudgetSettings settings, FleetStart fleetStart, long nowNanos) {
        this.settings = settings;
        this.fleetStart = fleetStart;
        startedAtNanos = nowNanos;
    }

    /** Returns the estimate of a router that starts while the whole fleet starts for the first time. */
    public static RouterCountEstimate atFirstFleetStart(BudgetSettings settings, long nowNanos) {
        return new RouterCountEstimate(settings, FleetStart.FIRST, nowNanos);
    }

    /** Returns the estimate of a router that starts while others may be running. */
    public static RouterCountEstimate inRunningFleet(BudgetSettings settings, long nowNanos) {
        return new RouterCountEstimate(settings, FleetStart.LATER, nowNanos);
    }

    /** Records that another router is seen; {@code processId} is unique to one start of one router. */
    public void onRouterAppeared(long processId, long nowNanos) {
        forgetDisappeared(nowNanos);
        boolean hasRoom = disappearedAtByProcess.size() < settings.maxRouters();
        if (hasRoom || disappearedAtByProcess.containsKey(processId)) {
            disappearedAtByProcess.put(processId, null);
        }
    }

    /** Records that another router is no longer seen, because it ended or is partitioned. */
    public void onRouterDisappeared(long processId, long nowNanos) {
        boolean isSeen = disappearedAtByProcess.containsKey(processId) && disappearedAtByProcess.get(processId) == null;
        if (isSeen) {
            disappearedAtByProcess.put(processId, nowNanos);
        }
    }

    /** Records how many routers a controller reported, this one included. */
    public void onReportedCount(int count) {
        largestReportedCount = Math.min(settings.maxRouters(), Math.max(largestReportedCount, count));
    }

    /** Records a message from a controller that has contact to a quorum. */
    public void onQuorumContact(long nowNanos) {
        if (!hadContact || nowNanos - lastContactNanos >= settings.contactTimeoutNanos()) {
            contactSinceNanos = nowNanos;
        }
        hadContact = true;
        lastContactNanos = nowNanos;
    }

    /** Returns how many routers may use the budget now, this one included. */
    public int count(long nowNanos) {
        forgetDisappeared(nowNanos);
        return disappearedAtByProcess.size() + 1;
    }

    /** Returns the fraction of the whole budget, 0 to 1, that this router may use in the present window. */
    public double budgetFraction(long nowNanos) {
        int count = count(nowNanos);
        if (isEstablished(nowNanos)) {
            return (1 - settings.reserveFraction()) / count;
        }
        int assumedCount = hadContact ? Math.max(count, largestReportedCount) : settings.maxRouters();
        return settings.reserveFraction() / Math.max(settings.minReserveRouters(), assumedCount);
    }

    /** Returns whether this router has been in contact long enough that all routers in contact count it. */
    public boolean isEstablished(long nowNanos) {
        return hadContact
                && nowNanos - lastContactNanos < settings.contactTimeoutNanos()
                && nowNanos - contactSinceNanos >= establishingNanos();
    }

    private long establishingNanos() {
        boolean startedWithAllOthers =
                fleetStart == FleetStart.FIRST && contactSinceNanos - startedAtNanos < settings.disseminationNanos();
        return startedWithAllOthers ? 2 * settings.disseminationNanos() : settings.retentionNanos();
    }

    private void forgetDisappeared(long nowNanos) {
        Iterator<Long> disappearanceTimes = disappearedAtByProcess.values().iterator();
        while (disappearanceTimes.hasNext()) {
            Long disappearedAtNanos = disappearanceTimes.next();
            if (disappearedAtNanos != null && nowNanos - disappearedAtNanos >= settings.retentionNanos()) {
                disappearanceTimes.remove();
            }
        }
    }
}
