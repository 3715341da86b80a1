package burlarch.node;

/**
 * The figures of the rules that hold for this run. Times are in nanoseconds.
 *
 * @param seedLagNanos how long the list of seeds may be behind
 * @param reuseAfterNanos after which an address that was left may be another's
 * @param contactNanos how long a machine must have been undisturbed to count as in touch
 * @param ackNanos how long an acknowledgement may take
 * @param catchUpNanos how long a machine that came back still counts as lost
 * @param drainTimeoutNanos after the acknowledgement of a drain no request may arrive
 * @param graceNanos between SIGTERM and the end by force
 * @param lossSlackNanos how much later than its last byte a request counts as read
 * @param configApplyNanos after the acknowledgement a configuration holds everywhere
 * @param downgradeNanos after an effect of a version was seen, no older one may show
 * @param outerNanos how much an unstable core stretches the bound of the configuration
 * @param revocation whether the withdrawal of keys has a bound of its own
 * @param revokeNanos that bound
 * @param retryBudget further sends, as a share of the requests in a window
 * @param budgetWindowNanos the length of that window
 * @param budgetSlack further sends in a window beside the share
 * @param recoveryNanos after a final fault requests are served again
 * @param transitNanos how long an event of a stream may be on its way through a router
 * @param againNanos how long a part counts as used lately
 * @param fencing whether engines check fencing tokens
 * @param leaseNanos between two holders' orders to one engine
 * @param thawNanos after a thaw or a heal orders of the one that was away don't count
 * @param versionNanos after its acknowledgement requests run on a version of a model, in one stretch
 * @param versionAllNanos the same over all stretches
 */
public record NodeBounds(
        long seedLagNanos,
        long reuseAfterNanos,
        long contactNanos,
        long ackNanos,
        long catchUpNanos,
        long drainTimeoutNanos,
        long graceNanos,
        long lossSlackNanos,
        long configApplyNanos,
        long downgradeNanos,
        long outerNanos,
        boolean revocation,
        long revokeNanos,
        double retryBudget,
        long budgetWindowNanos,
        int budgetSlack,
        long recoveryNanos,
        long transitNanos,
        long againNanos,
        boolean fencing,
        long leaseNanos,
        long thawNanos,
        long versionNanos,
        long versionAllNanos) {}
