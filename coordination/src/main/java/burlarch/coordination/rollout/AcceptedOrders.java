package burlarch.coordination.rollout;

/**
 * The number of orders that one incarnation of an engine has accepted, as far as results and reports show it. Each
 * order expects that number, so that the engine rejects an order that arrives late.
 *
 * <p>Invariant <em>never too high</em>: the engine has accepted at least as many. It has accepted more only if an order
 * of a previous owner, or one without a result, was accepted.
 */
final class AcceptedOrders {
    private long count;
    private boolean observed;

    long count() {
        return count;
    }

    /** Returns whether a result or a report has shown the number since the last order whose result is unknown. */
    boolean isObserved() {
        return observed;
    }

    /** The engine has accepted an order that expected this number. */
    void onAccepted() {
        onCount(count + 1);
    }

    /** The result of an order is unknown: the engine may have accepted it. */
    void onUnknownResult() {
        observed = false;
    }

    /** A report shows a number; it may be from before the latest orders. */
    void onReport(long reported) {
        onCount(Math.max(count, reported));
    }

    /** A report that is younger than the result of the latest order shows the number. */
    void onCount(long reported) {
        count = reported;
        observed = true;
    }
}
