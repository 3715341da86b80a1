package burlarch.node;

/**
 * Time and rate bounds of the guarantees that the fleet must keep, from the table {@code bounds} of the settings file.
 * Times are in nanoseconds.
 *
 * @param seedLagNanos longest time for which the list of seeds may be out of date
 * @param reuseAfterNanos time after which an address that its instance gave up may belong to another instance
 * @param contactNanos time without faults after which a machine counts as being in contact
 * @param ackNanos longest time until an acknowledgement
 * @param catchUpNanos time for which a machine that has returned still counts as lost
 * @param drainTimeoutNanos time after the acknowledgement of a drain from which no request may arrive
 * @param graceNanos time between SIGTERM and the forced end of the process
 * @param lossSlackNanos time after the last byte of a request at which the request counts as read
 * @param configApplyNanos time after its acknowledgement from which a configuration is in force everywhere
 * @param downgradeNanos time after an effect of a version was observed from which no older version may take effect
 * @param unstableCoreExtraNanos time by which an unstable core extends {@code configApplyNanos}
 * @param revocation whether the revocation of keys has a bound of its own
 * @param revokeNanos bound for the revocation of keys
 * @param retryBudget allowed retries, as a fraction of the requests in a window
 * @param budgetWindowNanos length of the window of {@code retryBudget}
 * @param budgetSlack allowed retries in a window in addition to the fraction
 * @param recoveryNanos time after the last fault from which requests are served again
 * @param transitNanos longest time that a router may take to forward an event of a stream
 * @param recentUseNanos time for which a part counts as recently used
 * @param fencing whether engines check fencing tokens
 * @param leaseNanos least time between the orders of two lease holders to one engine
 * @param resumeExemptionNanos time after a process resumes or a partition heals in which orders of the node that was
 *     away do not count
 * @param versionNanos time after its acknowledgement from which requests run on a version of a model, in one
 *     uninterrupted period
 * @param versionAllNanos the same bound as {@code versionNanos}, over all periods together
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
        long unstableCoreExtraNanos,
        boolean revocation,
        long revokeNanos,
        double retryBudget,
        long budgetWindowNanos,
        int budgetSlack,
        long recoveryNanos,
        long transitNanos,
        long recentUseNanos,
        boolean fencing,
        long leaseNanos,
        long resumeExemptionNanos,
        long versionNanos,
        long versionAllNanos) {}
