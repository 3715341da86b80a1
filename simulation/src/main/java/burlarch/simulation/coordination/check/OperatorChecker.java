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
 * Verifies what operators may rely on: {@link Rule#ACKNOWLEDGED_IS_DURABLE}, {@link Rule#REJECTED_IS_FINAL},
 * {@link Rule#ONE_CHANGE_PER_BASE}, {@link Rule#INVALID_IS_REJECTED} and {@link Rule#TIMELY_ANSWER}. Operators report
 * the answers that they get.
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

    /** The newest version that any operator knows of: no read that begins now may show an older one. */
    public long newestKnown() {
        return Math.max(newestAcknowledged, newestRead);
    }

    /** Number of acknowledged changes. */
    public int acknowledgedCount() {
        return acknowledged.size();
    }

    /** An operator is about to send a change that no state may accept. */
    public void onInvalid(AppliedChange change) {
        invalid.add(change);
    }

    /** A call has ended: answered, or given up. */
    public void onCallEnded(String call, long begunNanos, long nowNanos) {
        if (nowNanos - begunNanos > FleetTimings.CALL_LIMIT_NANOS && connectivity.isFaultFreeSince(begunNanos)) {
            long millis = (nowNanos - begunNanos) / Simulation.MILLISECOND;
            violations.add(Rule.TIMELY_ANSWER, call + " took " + millis + " ms");
        }
    }

    /** A change was acknowledged. */
    public void onAcknowledged(AppliedChange change, long ifMatch) {
        if (invalid.contains(change)) {
            violations.add(Rule.INVALID_IS_REJECTED, "acknowledged " + change);
        }
        if (rejected.contains(change)) {
            violations.add(Rule.REJECTED_IS_FINAL, "acknowledged after it was refused: " + change);
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

    /** A change was rejected for good. */
    public void onRejected(AppliedChange change, int status) {
        if (acknowledged.containsKey(change)) {
            violations.add(Rule.REJECTED_IS_FINAL, status + " for what was acknowledged: " + change);
        }
        rejected.add(change);
        checkNoneRejected(chain.newest());
    }

    /** Verifies that no rejected change is in a state that was committed. */
    void checkNoneRejected(SystemState committed) {
        for (AppliedChange change : committed.appliedChanges().changes()) {
            if (rejected.contains(change)) {
                violations.add(Rule.REJECTED_IS_FINAL, "in force after it was refused: " + change);
            }
        }
    }

    /**
     * A read was answered.
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
                    Rule.ACKNOWLEDGED_IS_DURABLE, "version " + version + " read, which was not committed like that");
        }
    }

    /**
     * A read was rejected for good.
     *
     * @param expected {@link #newestKnown} when the read began
     */
    public void onReadRejected(int status, long expected) {
        if (expected > 0) {
            violations.add(
                    Rule.ACKNOWLEDGED_IS_DURABLE, status + " for a read after " + expected + " was acknowledged");
        }
    }

    /** A read returned what is no configuration. */
    public void onUnreadable() {
        violations.add(Rule.ACKNOWLEDGED_IS_DURABLE, "what was read is no configuration");
    }

    /** A configuration that breaks its own rules was acknowledged. */
    public void onBrokenAcknowledged() {
        violations.add(Rule.INVALID_IS_REJECTED, "acknowledged a broken configuration");
    }

    /** Newly named weights were acknowledged. */
    public void onWeightsAcknowledged(String model, long version) {
        acknowledgedWeights.merge(model, version, Math::max);
        if (chain.newest().weights().getOrDefault(model, 0L) < acknowledgedWeights.get(model)) {
            violations.add(Rule.ACKNOWLEDGED_IS_DURABLE, "weights " + model + " " + version);
        }
    }

    /** The newest acknowledged version of a model's weights; 1 before the first. */
    public long newestWeights(String model) {
        return acknowledgedWeights.getOrDefault(model, 1L);
    }
}
