package burlarch.simulation.coordination.check;

import burlarch.controller.state.AppliedChange;
import burlarch.controller.state.AppliedChanges.Recall;
import burlarch.controller.state.SystemState;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.plan.FleetTimings;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checker of the guarantees to operators: {@link Rule#ACKNOWLEDGED_IS_DURABLE}, {@link Rule#REJECTED_IS_FINAL},
 * {@link Rule#ONE_CHANGE_PER_BASE}, {@link Rule#INVALID_IS_REJECTED} and {@link Rule#TIMELY_ANSWER}. Operators report
 * the responses that they receive.
 */
public final class OperatorChecker {
    private final ViolationLog violations;
    private final CommittedChainChecker chain;
    private final Connectivity connectivity;
    /** Base version of each acknowledged change. */
    private final Map<AppliedChange, Long> acknowledged = new HashMap<>();
    /** The change that was acknowledged first on each base version. */
    private final Map<Long, AppliedChange> acknowledgedByBase = new HashMap<>();

    private final Set<AppliedChange> rejected = new HashSet<>();
    private final Set<AppliedChange> invalid = new HashSet<>();
    private final Map<String, Long> acknowledgedWeights = new HashMap<>();
    private long newestAcknowledged;
    private long newestRead;

    OperatorChecker(ViolationLog violations, CommittedChainChecker chain, Connectivity connectivity) {
        this.violations = violations;
        this.chain = chain;
        this.connectivity = connectivity;
    }

    /** Returns the newest version that any operator knows of: no read that begins now may return an older one. */
    public long newestKnown() {
        return Math.max(newestAcknowledged, newestRead);
    }

    /** Returns the number of acknowledged changes. */
    public int acknowledgedCount() {
        return acknowledged.size();
    }

    /** Records that an operator is about to send a change that must be rejected in every state. */
    public void onInvalid(AppliedChange change) {
        invalid.add(change);
    }

    /** Checks the duration of a call that has ended with a response or was given up. */
    public void onCallEnded(String call, long begunNanos, long nowNanos) {
        if (nowNanos - begunNanos > FleetTimings.CALL_LIMIT_NANOS && connectivity.isFaultFreeSince(begunNanos)) {
            long durationMillis = (nowNanos - begunNanos) / Simulation.MILLISECOND;
            violations.add(Rule.TIMELY_ANSWER, call + " took " + durationMillis + " ms");
        }
    }

    /**
     * Records and checks the acknowledgement of a change.
     *
     * @param ifMatch version that the change is based on
     */
    public void onAcknowledged(AppliedChange change, long ifMatch) {
        if (invalid.contains(change)) {
            violations.add(Rule.INVALID_IS_REJECTED, "acknowledged " + change);
        }
        if (rejected.contains(change)) {
            violations.add(Rule.REJECTED_IS_FINAL, "acknowledged after it was rejected: " + change);
        }
        AppliedChange first = acknowledgedByBase.putIfAbsent(ifMatch, change);
        if (first != null && !first.equals(change)) {
            violations.add(
                    Rule.ONE_CHANGE_PER_BASE, "both acknowledged on top of " + ifMatch + ": " + first + ", " + change);
        }
        if (chain.newest().appliedChanges().recall(change) == Recall.NOT_APPLIED) {
            violations.add(Rule.ACKNOWLEDGED_IS_DURABLE, "acknowledged and not committed: " + change);
        }
        acknowledged.put(change, ifMatch);
        newestAcknowledged = Math.max(newestAcknowledged, change.version());
    }

    /** Records and checks a final rejection of a change. */
    public void onRejected(AppliedChange change, int status) {
        if (acknowledged.containsKey(change)) {
            violations.add(Rule.REJECTED_IS_FINAL, status + " for an acknowledged change: " + change);
        }
        rejected.add(change);
        checkNoneRejected(chain.newest());
    }

    /** Checks that a committed state holds no rejected change. */
    void checkNoneRejected(SystemState committed) {
        for (AppliedChange change : committed.appliedChanges().changes()) {
            if (rejected.contains(change)) {
                violations.add(Rule.REJECTED_IS_FINAL, "committed after it was rejected: " + change);
            }
        }
    }

    /**
     * Checks the configuration that a read returned.
     *
     * @param expected {@link #newestKnown} when the read began
     */
    public void onRead(long version, byte[] json, long expected) {
        if (version < expected) {
            violations.add(
                    Rule.ACKNOWLEDGED_IS_DURABLE,
                    "version " + version + " read after " + expected + " was acknowledged");
        }
        newestRead = Math.max(newestRead, version);
        if (!chain.isCommitted(version, json)) {
            violations.add(
                    Rule.ACKNOWLEDGED_IS_DURABLE,
                    "version " + version + " read, which was not committed with this content");
        }
    }

    /**
     * Checks a final rejection of a read.
     *
     * @param expected {@link #newestKnown} when the read began
     */
    public void onReadRejected(int status, long expected) {
        if (expected > 0) {
            violations.add(
                    Rule.ACKNOWLEDGED_IS_DURABLE, status + " for a read after " + expected + " was acknowledged");
        }
    }

    /** Records that a read returned a body that is not a valid configuration. */
    public void onUnreadable() {
        violations.add(Rule.ACKNOWLEDGED_IS_DURABLE, "a read returned a body that is not a configuration");
    }

    /** Records that a malformed or inconsistent configuration was acknowledged. */
    public void onBrokenAcknowledged() {
        violations.add(Rule.INVALID_IS_REJECTED, "acknowledged a malformed or inconsistent configuration");
    }

    /** Records and checks the acknowledgement of a new weights version of a model. */
    public void onWeightsAcknowledged(String model, long version) {
        acknowledgedWeights.merge(model, version, Math::max);
        if (chain.newest().weights().getOrDefault(model, 0L) < acknowledgedWeights.get(model)) {
            violations.add(Rule.ACKNOWLEDGED_IS_DURABLE, "weights " + model + " " + version);
        }
    }

    /** Returns the newest acknowledged version of a model's weights; 1 before the first. */
    public long newestWeights(String model) {
        return acknowledgedWeights.getOrDefault(model, 1L);
    }
}
