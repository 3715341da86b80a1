package burlarch.simulation.coordination;

import burlarch.controller.state.AppliedChange;
import burlarch.controller.state.AppliedChanges.Recall;
import burlarch.controller.state.SystemState;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What operators may rely on: acknowledged lasts, refused never comes, one wins a race. */
final class OperatorRule {
    static final String LOST = "lost";
    static final String REFUSED = "refused";
    static final String RACE = "race";
    static final String INVALID = "invalid";

    static final String SLOW = "slow";

    private final Violations violations;
    private final ChainRule chain;
    private final Touch touch;
    private final Map<AppliedChange, Long> acknowledged = new HashMap<>();
    private final Map<Long, AppliedChange> winners = new HashMap<>();
    private final Set<AppliedChange> refused = new HashSet<>();
    private final Set<AppliedChange> invalid = new HashSet<>();
    private final Map<String, Long> weights = new HashMap<>();
    private long newestAcknowledged;
    private long newestRead;

    OperatorRule(Violations violations, ChainRule chain, Touch touch) {
        this.violations = violations;
        this.chain = chain;
        this.touch = touch;
    }

    /** The newest version that anybody was told of: no read that begins now may show an older one. */
    long newestKnown() {
        return Math.max(newestAcknowledged, newestRead);
    }

    int acknowledgements() {
        return acknowledged.size();
    }

    /** A change is about to be sent that no state may take. */
    void onInvalid(AppliedChange change) {
        invalid.add(change);
    }

    /** A call got its clear answer, or was given up. */
    void onEnded(String what, long begun, long now) {
        if (now - begun > FleetPlan.ACK_NANOS && touch.allCalm(begun)) {
            violations.add(SLOW, what + " took " + (now - begun) / 1_000_000 + " ms");
        }
    }

    void onAcknowledged(AppliedChange change, long ifMatch) {
        if (invalid.contains(change)) {
            violations.add(INVALID, "acknowledged " + change);
        }
        if (refused.contains(change)) {
            violations.add(REFUSED, "acknowledged after it was refused: " + change);
        }
        AppliedChange winner = winners.putIfAbsent(ifMatch, change);
        if (winner != null && !winner.equals(change)) {
            violations.add(RACE, "both acknowledged on top of " + ifMatch + ": " + winner + ", " + change);
        }
        if (chain.newest().appliedChanges().recall(change) == Recall.NOT_APPLIED) {
            violations.add(LOST, "acknowledged and not chosen: " + change);
        }
        acknowledged.put(change, ifMatch);
        newestAcknowledged = Math.max(newestAcknowledged, change.version());
    }

    void onRefused(AppliedChange change, int status) {
        if (acknowledged.containsKey(change)) {
            violations.add(REFUSED, status + " for what was acknowledged: " + change);
        }
        refused.add(change);
        check(chain.newest());
    }

    /** A newer state is known as chosen. */
    void check(SystemState state) {
        for (AppliedChange taken : state.appliedChanges().changes()) {
            if (refused.contains(taken)) {
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
    void onReadRefused(int status, long expected) {
        if (expected > 0) {
            violations.add(LOST, status + " for a read after " + expected + " was acknowledged");
        }
    }

    void onWeightsAcknowledged(String model, long version) {
        weights.merge(model, version, Math::max);
        if (chain.newest().weights().getOrDefault(model, 0L) < weights.get(model)) {
            violations.add(LOST, "weights " + model + " " + version);
        }
    }

    long newestWeights(String model) {
        return weights.getOrDefault(model, 1L);
    }
}
