package burlarch.simulation.coordination;

import burlarch.controller.state.AppliedChange;
import burlarch.controller.state.AppliedChanges.Recall;
import burlarch.controller.state.SystemState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What operators may rely on: acknowledged lasts, refused never comes, one wins a race. */
final class OperatorChecker {
    static final String LOST = "lost";
    static final String REFUSED = "refused";
    static final String RACE = "race";
    static final String INVALID = "invalid";

    static final String SLOW = "slow";

    private final ViolationLog violations;
    private final ChosenChainChecker chain;
    private final Connectivity touch;
    private final Map<AppliedChange, Long> acknowledged = new HashMap<>();
    private final Map<Long, AppliedChange> acknowledgedByBase = new HashMap<>();
    private final Set<AppliedChange> rejected = new HashSet<>();
    private final Set<AppliedChange> invalid = new HashSet<>();
    private final Map<String, Long> acknowledgedWeights = new HashMap<>();
    private long newestAcknowledged;
    private long newestRead;

    OperatorChecker(ViolationLog violations, ChosenChainChecker chain, Connectivity touch) {
        this.violations = violations;
        this.chain = chain;
        this.touch = touch;
    }

    /** The newest version that anybody was told of: no read that begins now may show an older one. */
    long newestKnown() {
        return Math.max(newestAcknowledged, newestRead);
    }

    int acknowledgedCount() {
        return acknowledged.size();
    }

    /** A change is about to be sent that no state may take. */
    void onInvalid(AppliedChange change) {
        invalid.add(change);
    }

    /** A call got its clear answer, or was given up. */
    void onCallEnded(String what, long begun, long now) {
        if (now - begun > FleetPlan.CALL_LIMIT_NANOS && touch.isFaultFreeSince(begun)) {
            violations.add(SLOW, what + " took " + (now - begun) / 1_000_000 + " ms");
        }
    }

    void onAcknowledged(AppliedChange change, long ifMatch) {
        if (invalid.contains(change)) {
            violations.add(INVALID, "acknowledged " + change);
        }
        if (rejected.contains(change)) {
            violations.add(REFUSED, "acknowledged after it was refused: " + change);
        }
        AppliedChange winner = acknowledgedByBase.putIfAbsent(ifMatch, change);
        if (winner != null && !winner.equals(change)) {
            violations.add(RACE, "both acknowledged on top of " + ifMatch + ": " + winner + ", " + change);
        }
        if (chain.newest().appliedChanges().recall(change) == Recall.NOT_APPLIED) {
            violations.add(LOST, "acknowledged and not chosen: " + change);
        }
        acknowledged.put(change, ifMatch);
        newestAcknowledged = Math.max(newestAcknowledged, change.version());
    }

    void onRejected(AppliedChange change, int status) {
        if (acknowledged.containsKey(change)) {
            violations.add(REFUSED, status + " for what was acknowledged: " + change);
        }
        rejected.add(change);
        checkNoneRejected(chain.newest());
    }

    /** A newer state is known as chosen. */
    void checkNoneRejected(SystemState state) {
        for (AppliedChange taken : state.appliedChanges().changes()) {
            if (rejected.contains(taken)) {
                violations.add(REFUSED, "in force after it was refused: " + taken);
            }
        }
    }

    /**
     * A read came back.
     *
     * @param expected what anybody had been told when it was asked for
     */
    void onRead(long version, byte[] json, long expected) {
        if (version < expected) {
            violations.add(LOST, "version " + version + " read after " + expected + " was acknowledged");
        }
        newestRead = Math.max(newestRead, version);
        if (!chain.isChosen(version, json)) {
            violations.add(LOST, "version " + version + " read, which was not chosen like that");
        }
    }

    /** A read was refused for good. */
    void onReadRejected(int status, long expected) {
        if (expected > 0) {
            violations.add(LOST, status + " for a read after " + expected + " was acknowledged");
        }
    }

    void onWeightsAcknowledged(String model, long version) {
        acknowledgedWeights.merge(model, version, Math::max);
        if (chain.newest().weights().getOrDefault(model, 0L) < acknowledgedWeights.get(model)) {
            violations.add(LOST, "weights " + model + " " + version);
        }
    }

    long newestWeights(String model) {
        return acknowledgedWeights.getOrDefault(model, 1L);
    }
}
