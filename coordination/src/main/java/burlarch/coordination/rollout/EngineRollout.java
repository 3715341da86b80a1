package burlarch.coordination.rollout;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.rollout.RolloutAction.ClearLoading;
import burlarch.coordination.rollout.RolloutAction.MarkLoading;
import burlarch.coordination.rollout.RolloutAction.RequestReport;
import burlarch.coordination.rollout.RolloutAction.SendOrder;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The state machine of the order to one incarnation of an engine. {@link #moveTo} makes every transition:
 *
 * <pre>
 * from              event                                                            to                action
 * IDLE              begin: chosen to load                                            WITHDRAWN         MarkLoading
 * IDLE              adopt: a previous owner marked it, and it is behind              UNCONFIRMED
 * IDLE              adopt: a previous owner marked it, and it is not behind          IDLE              ClearLoading
 * WITHDRAWN         the withdrawal lead is over                                      ORDERED           SendOrder
 * WITHDRAWN         it needs no order any more, drains or is gone; ownership lost    IDLE              ClearLoading
 * ORDERED           result ACCEPTED, CONFLICT or NO_RESPONSE; response time-out;
 *                   ownership lost                                                   UNCONFIRMED
 * IDLE              it announces older weights than it had; once per interval        IDLE              RequestReport
 * ORDERED           result FENCED, INVALID or MISDIRECTED                            IDLE              ClearLoading
 * UNCONFIRMED       the next report is due                                           REPORT_REQUESTED  RequestReport
 * REPORT_REQUESTED  response time-out                                                REPORT_REQUESTED  RequestReport
 * REPORT_REQUESTED  a report that decides nothing, or none; ownership acquired       UNCONFIRMED
 * REPORT_REQUESTED  a report that shows that the order was not accepted              WITHDRAWN
 * ORDERED, UNCONFIRMED, REPORT_REQUESTED
 *                   the ordered version is loaded                                    IDLE              ClearLoading
 *                   the ordered version is loaded, but a newer one is named          LOADED
 * LOADED            begin: chosen to load the newer version                          WITHDRAWN
 * LOADED            not chosen, as other engines have waited longer                  IDLE              ClearLoading
 * </pre>
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li><em>Withdrawn while ordered</em>: routers were told by this process, or a previous owner, that the engine
 *       loads, exactly while the phase is not IDLE. This process clears its own mark even after it lost the
 *       ownership, as no other process can.
 *   <li><em>No duplicate order</em>: the same weights are ordered again only after a report that shows that the
 *       previous order was not accepted. The report must be younger than the result of that order by at least the
 *       staleness of reports, and the new order expects the report's sequence, so that it is rejected if the previous
 *       order is accepted late.
 *   <li><em>A late order is rejected</em>: each order, the first one included, expects the number of orders that the
 *       engine has accepted according to all results and reports. An order that arrives after a newer one was accepted
 *       expects too few.
 *   <li><em>Older weights are found</em>: an engine without an order that announces older weights than it had is asked
 *       for a report, and receives an order again if the report confirms it.
 * </ul>
 */
final class EngineRollout {
    /** The phase of the order. */
    enum Phase {
        /** There is no order; routers send requests to the engine. */
        IDLE,
        /** Routers were told to send nothing to the engine; the order follows. */
        WITHDRAWN,
        /** The order was sent; its result is not known yet. */
        ORDERED,
        /** The order was accepted, or may have been; registrations and reports will show it. */
        UNCONFIRMED,
        /** As UNCONFIRMED, and a report was requested. */
        REPORT_REQUESTED,
        /**
         * The ordered version is loaded, but a newer one is named. Routers still send nothing to the engine. It ends
         * with the call in which it began.
         */
        LOADED;

        boolean canMoveTo(Phase next) {
            return switch (this) {
                case IDLE -> next == WITHDRAWN || next == UNCONFIRMED;
                case WITHDRAWN -> next == ORDERED || next == IDLE;
                case ORDERED -> next == UNCONFIRMED || next == LOADED || next == IDLE;
                case UNCONFIRMED -> next == REPORT_REQUESTED || next == WITHDRAWN || next == LOADED || next == IDLE;
                case REPORT_REQUESTED -> next == UNCONFIRMED || next == WITHDRAWN || next == LOADED || next == IDLE;
                case LOADED -> next == WITHDRAWN || next == IDLE;
            };
        }
    }

    private static final long RESPONSE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long REJECTED_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_REPORT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** How long registrations may still show a mark after it was cleared. */
    private static final long SNAPSHOT_LAG_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** The interval between two reports is the order's age divided by this, within bounds. */
    private static final int REPORT_AGE_DIVISOR = 8;
    /** The first report after an accepted order is requested at this fraction of the estimated load time. */
    private static final double FIRST_REPORT_FRACTION = 0.9;
    /** An engine serves again after that many loads, so that it is not withdrawn for long by versions in succession. */
    private static final int MAX_LOADS_WHILE_WITHDRAWN = 2;
    /** How long announcements may lag behind a load that is already known: heartbeats may be late by seconds. */
    private static final long ANNOUNCEMENT_LAG_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** The shortest time between two reports that verify the weights of an engine without an order. */
    private static final long VERIFICATION_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final RolloutSettings settings;
    private final RolloutOwnership ownership;
    private final List<RolloutAction> actions;
    private final EngineStatus status;
    private final AcceptedOrders acceptedOrders = new AcceptedOrders();
    private Phase phase = Phase.IDLE;
    private long clearedAtNanos;
    private long nextOrderNotBeforeNanos;
    private RolloutTarget target;
    private long version;
    private long fencingToken;
    /** Number of orders sent since the engine was withdrawn; 0 for an adopted engine. */
    private int attempts;
    /** Number of loads since the engine was withdrawn, the present one included; 0 for an adopted engine. */
    private int loadsSinceWithdrawal;

    private long orderAtNanos;
    private long sentAtNanos;
    /** Reports requested earlier than this plus their staleness do not show whether the order was accepted. */
    private long resultAtNanos;

    private long reportAtNanos;
    private long reportRequestedAtNanos;
    /** Whether the registrations show older weights than the engine is known to have. */
    private boolean suspectsOlderWeights;

    private long nextVerificationAtNanos;

    /**
     * Creates the state of an engine without an order.
     *
     * @param actions receives the actions to perform
     */
    EngineRollout(
            RolloutSettings settings,
            RolloutOwnership ownership,
            List<RolloutAction> actions,
            Instance instance,
            long nowNanos) {
        this.settings = settings;
        this.ownership = ownership;
        this.actions = actions;
        this.status = new EngineStatus(instance, nowNanos);
        this.nextOrderNotBeforeNanos = nowNanos;
        this.clearedAtNanos = nowNanos - SNAPSHOT_LAG_NANOS;
        this.nextVerificationAtNanos = nowNanos;
    }

    EngineStatus status() {
        return status;
    }

    boolean isIdle() {
        return phase == Phase.IDLE;
    }

    /** Returns whether the engine needs newer weights of the target's model and no order for it is in progress. */
    boolean awaitsOrder(RolloutTarget newTarget) {
        boolean noOrder = phase == Phase.IDLE || phase == Phase.LOADED && target == newTarget;
        return noOrder && status.isBehind(newTarget);
    }

    boolean isStartable(long nowNanos) {
        return nowNanos - nextOrderNotBeforeNanos >= 0;
    }

    /** Returns whether the engine is withdrawn from routers because of an order for that target. */
    boolean isLoading(RolloutTarget newTarget) {
        return status.isPresent() && phase != Phase.IDLE && phase != Phase.LOADED && target == newTarget;
    }

    /** Returns the nanoseconds since the order was sent, 0 before it is sent. */
    long ageNanos(long nowNanos) {
        return phase == Phase.WITHDRAWN ? 0 : nowNanos - sentAtNanos;
    }

    /**
     * Withdraws the engine from routers; the order follows after the withdrawal lead, when they have learned of it. An
     * engine that is still withdrawn receives the order at once.
     */
    void begin(RolloutTarget newTarget, long nowNanos) {
        if (phase == Phase.IDLE) {
            loadsSinceWithdrawal = 1;
            orderAtNanos = nowNanos + settings.withdrawalLeadNanos();
            actions.add(new MarkLoading(status.id()));
        } else {
            loadsSinceWithdrawal++;
            orderAtNanos = nowNanos;
        }
        moveTo(Phase.WITHDRAWN);
        target = newTarget;
    }

    /** Returns whether the engine is still withdrawn after a load and may load once more before it serves again. */
    boolean mayLoadAgain() {
        return phase == Phase.LOADED && loadsSinceWithdrawal < MAX_LOADS_WHILE_WITHDRAWN;
    }

    /** Returns the engine to routers if it has completed an order and was not chosen for the next one. */
    void releaseIfLoaded(long nowNanos) {
        if (phase == Phase.LOADED) {
            release(nowNanos);
        }
    }

    /** Returns whether a previous owner has withdrawn the engine from routers. */
    boolean isAdoptable(long nowNanos) {
        return phase == Phase.IDLE && status.isAnnouncedLoading() && nowNanos - clearedAtNanos >= SNAPSHOT_LAG_NANOS;
    }

    /**
     * Takes over an engine that a previous owner has withdrawn.
     *
     * @param behind the target for which it may have received an order; empty if it needs no order
     */
    void adopt(Optional<RolloutTarget> behind, long nowNanos) {
        if (behind.isEmpty()) {
            clearMark(nowNanos);
            return;
        }
        loadsSinceWithdrawal = 0;
        target = behind.get();
        version = target.version();
        sentAtNanos = nowNanos;
        awaitConfirmation(nowNanos - settings.reportStalenessNanos(), nowNanos);
    }

    /** Returns whether a report has to show whether the engine has gone back to older weights. */
    boolean awaitsVerification() {
        return phase == Phase.IDLE && suspectsOlderWeights;
    }

    /** Handles a change of the registrations. */
    void onStatusChanged(long nowNanos) {
        suspectsOlderWeights = announcesOlderWeights(nowNanos);
        if (isOrderOut() && isOrderedVersionLoaded()) {
            finish(nowNanos);
        } else if (phase == Phase.WITHDRAWN && !status.serves(target)) {
            abandon(nowNanos, 0);
        }
    }

    /** Handles the loss of the ownership: whether a sent order was accepted is uncertain from now on. */
    void onOwnershipLost(long nowNanos) {
        if (phase == Phase.WITHDRAWN) {
            abandon(nowNanos, 0);
        } else if (phase == Phase.ORDERED) {
            awaitConfirmation(nowNanos, nowNanos + settings.reportStalenessNanos());
        }
    }

    /** Handles a new acquisition of the ownership. */
    void onOwnershipAcquired(long nowNanos) {
        if (isUnconfirmed()) {
            onReportAnswered();
            reportAtNanos = nowNanos;
        }
    }

    /**
     * Handles the result of the order.
     *
     * @return whether the engine has seen a higher fencing token than the present one
     */
    boolean onResult(OrderResult result, long nowNanos) {
        if (phase != Phase.ORDERED) {
            return false;
        }
        switch (result) {
            case ACCEPTED -> {
                acceptedOrders.onAccepted();
                awaitConfirmation(nowNanos, firstReportAtNanos(nowNanos));
            }
            case ALREADY_LOADED -> {
                status.onVersion(target.model, version, nowNanos);
                finish(nowNanos);
            }
            case FENCED -> abandon(nowNanos, 0);
            case INVALID, MISDIRECTED -> abandon(nowNanos, REJECTED_PAUSE_NANOS);
            case CONFLICT -> onConflict(nowNanos);
            case NO_RESPONSE -> {
                acceptedOrders.onUnknownResult();
                awaitConfirmation(nowNanos, nowNanos + settings.reportStalenessNanos());
            }
        }
        return result == OrderResult.FENCED && fencingToken == ownership.fencingToken();
    }

    /**
     * Handles the rejection of an order: if the expected sequence was not observed, the engine has probably accepted
     * orders of a previous owner, and any report shows the sequence.
     */
    private void onConflict(long nowNanos) {
        if (acceptedOrders.isObserved()) {
            awaitConfirmation(nowNanos, nowNanos + settings.reportStalenessNanos());
        } else {
            awaitConfirmation(nowNanos - settings.reportStalenessNanos(), nowNanos);
        }
    }

    /**
     * Handles the response to a report request.
     *
     * @param report empty if no report was received
     */
    void onReport(Optional<EngineReport> report, long nowNanos) {
        boolean requested = phase == Phase.REPORT_REQUESTED;
        onReportAnswered();
        reportAtNanos = nowNanos + reportIntervalNanos(nowNanos);
        if (report.isEmpty()) {
            return;
        }
        acceptedOrders.onReport(report.get().orderSequence());
        status.onRunningRequests(report.get().runningRequests());
        if (phase == Phase.IDLE && !report.get().busy()) {
            long describedAtNanos = reportRequestedAtNanos - settings.reportStalenessNanos();
            status.onVerifiedModels(report.get().models(), describedAtNanos, nowNanos);
        } else {
            status.onModels(report.get().models(), nowNanos);
        }
        if (phase == Phase.UNCONFIRMED && !report.get().busy()) {
            onNotBusy(report.get().orderSequence(), requested, nowNanos);
        }
    }

    /** Performs the actions that are due. */
    void proceed(long nowNanos) {
        suspectsOlderWeights &= announcesOlderWeights(nowNanos);
        if (phase == Phase.ORDERED && nowNanos - sentAtNanos >= RESPONSE_TIMEOUT_NANOS) {
            awaitConfirmation(nowNanos, nowNanos);
        }
        if (!mayAct()) {
            return;
        }
        if (phase == Phase.WITHDRAWN && nowNanos - orderAtNanos >= 0) {
            sendOrder(nowNanos);
        } else if (isUnconfirmed() && nowNanos - nextReportAtNanos() >= 0) {
            requestReport(nowNanos);
        } else if (awaitsVerification() && nowNanos - nextVerificationAtNanos >= 0) {
            nextVerificationAtNanos = nowNanos + VERIFICATION_INTERVAL_NANOS;
            requestReport(nowNanos);
        }
    }

    /** Returns the time at which {@link #proceed} has something to do; empty if there is none. */
    OptionalLong nextDueAtNanos() {
        return switch (phase) {
            case IDLE -> mayAct() && awaitsVerification()
                    ? OptionalLong.of(nextVerificationAtNanos)
                    : OptionalLong.empty();
            case LOADED -> OptionalLong.empty();
            case WITHDRAWN -> mayAct() ? OptionalLong.of(orderAtNanos) : OptionalLong.empty();
            case ORDERED -> OptionalLong.of(sentAtNanos + RESPONSE_TIMEOUT_NANOS);
            case UNCONFIRMED, REPORT_REQUESTED -> mayAct()
                    ? OptionalLong.of(nextReportAtNanos())
                    : OptionalLong.empty();
        };
    }

    /** Handles the removal of the engine: tells routers that it no longer loads, if they were told that it does. */
    void onForgotten(long nowNanos) {
        if (phase != Phase.IDLE) {
            release(nowNanos);
        }
    }

    private boolean mayAct() {
        return ownership.isHeld() && status.isPresent();
    }

    private boolean announcesOlderWeights(long nowNanos) {
        return status.announcesOlderThanKnownFor(ANNOUNCEMENT_LAG_NANOS, nowNanos);
    }

    private boolean isUnconfirmed() {
        return phase == Phase.UNCONFIRMED || phase == Phase.REPORT_REQUESTED;
    }

    private boolean isOrderOut() {
        return phase == Phase.ORDERED || isUnconfirmed();
    }

    private boolean isOrderedVersionLoaded() {
        return status.hasLoaded(target.model, version);
    }

    private long firstReportAtNanos(long nowNanos) {
        long earliestNanos = sentAtNanos + (long) (FIRST_REPORT_FRACTION * target.concurrency.estimateNanos());
        return nowNanos + Math.max(settings.reportIntervalNanos(), earliestNanos - nowNanos);
    }

    private long reportIntervalNanos(long nowNanos) {
        long intervalByAgeNanos = (nowNanos - sentAtNanos) / REPORT_AGE_DIVISOR;
        return Math.min(MAX_REPORT_INTERVAL_NANOS, Math.max(settings.reportIntervalNanos(), intervalByAgeNanos));
    }

    private long nextReportAtNanos() {
        return phase == Phase.REPORT_REQUESTED ? reportRequestedAtNanos + RESPONSE_TIMEOUT_NANOS : reportAtNanos;
    }

    private void requestReport(long nowNanos) {
        if (phase == Phase.UNCONFIRMED) {
            moveTo(Phase.REPORT_REQUESTED);
        }
        reportRequestedAtNanos = nowNanos;
        actions.add(new RequestReport(status.id()));
    }

    private void onReportAnswered() {
        if (phase == Phase.REPORT_REQUESTED) {
            moveTo(Phase.UNCONFIRMED);
        }
    }

    /**
     * Handles a report that no order is being executed: the order was completed, or, if the report is recent enough
     * to show it, not accepted.
     */
    private void onNotBusy(long orderSequence, boolean requested, long nowNanos) {
        boolean recentEnough = reportRequestedAtNanos - resultAtNanos >= settings.reportStalenessNanos();
        if (isOrderedVersionLoaded()) {
            finish(nowNanos);
        } else if (ownership.isHeld() && requested && recentEnough) {
            moveTo(Phase.WITHDRAWN);
            orderAtNanos = nowNanos;
            acceptedOrders.onCount(orderSequence);
        }
    }

    private void sendOrder(long nowNanos) {
        if (!status.isBehind(target)) {
            abandon(nowNanos, 0);
            return;
        }
        moveTo(Phase.ORDERED);
        version = target.version();
        fencingToken = ownership.fencingToken();
        sentAtNanos = nowNanos;
        attempts++;
        actions.add(new SendOrder(
                status.id(), target.model, version, settings.orderMode(), fencingToken, acceptedOrders.count()));
    }

    private void awaitConfirmation(long resultNanos, long reportNanos) {
        moveTo(Phase.UNCONFIRMED);
        resultAtNanos = resultNanos;
        reportAtNanos = reportNanos;
    }

    /** Ends the order because its version is loaded. */
    private void finish(long nowNanos) {
        if (isUnconfirmed() && attempts == 1) {
            target.concurrency.onLoaded(nowNanos - sentAtNanos);
        }
        resetOrder(nowNanos);
        if (ownership.isHeld() && status.isBehind(target)) {
            moveTo(Phase.LOADED);
        } else {
            release(nowNanos);
        }
    }

    /** Ends the order without a load; the next order begins after the pause at the earliest. */
    private void abandon(long nowNanos, long pauseNanos) {
        resetOrder(nowNanos + pauseNanos);
        release(nowNanos);
    }

    private void resetOrder(long nextNotBeforeNanos) {
        nextOrderNotBeforeNanos = nextNotBeforeNanos;
        attempts = 0;
    }

    private void release(long nowNanos) {
        moveTo(Phase.IDLE);
        clearMark(nowNanos);
    }

    private void clearMark(long nowNanos) {
        clearedAtNanos = nowNanos;
        actions.add(new ClearLoading(status.id()));
    }

    private void moveTo(Phase next) {
        if (!phase.canMoveTo(next)) {
            throw new IllegalStateException(status.id() + " from " + phase + " to " + next);
        }
        phase = next;
    }
}
