package burlarch.simulation.coordination;

import burlarch.controller.state.AppliedChanges.Recall;
import burlarch.controller.state.Lease;
import burlarch.controller.state.SystemState;
import burlarch.controller.state.SystemStateCodec;
import burlarch.coordination.register.ProposalNumber;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** All that was ever chosen is one chain: what a ballot chose holds all that lower ones chose. */
final class ChosenChainChecker {
    static final String NAME = "chain";

    private final ViolationLog violations;
    private final TreeMap<ProposalNumber, SystemState> chosenByBallot = new TreeMap<>();
    private final Map<Long, byte[]> configurationByVersion = new HashMap<>();

    ChosenChainChecker(ViolationLog violations) {
        this.violations = violations;
    }

    /** A controller knows of a value as chosen. */
    void onChosen(String machine, ProposalNumber ballot, SystemState state) {
        SystemState same = chosenByBallot.putIfAbsent(ballot, state);
        if (same != null) {
            if (!Arrays.equals(SystemStateCodec.encode(same), SystemStateCodec.encode(state))) {
                violations.add(NAME, "two values chosen at " + ballot + ", seen by " + machine);
            }
            return;
        }
        Map.Entry<ProposalNumber, SystemState> lower = chosenByBallot.lowerEntry(ballot);
        Map.Entry<ProposalNumber, SystemState> higher = chosenByBallot.higherEntry(ballot);
        if (lower != null) {
            checkFollows(lower, Map.entry(ballot, state));
        }
        if (higher != null) {
            checkFollows(Map.entry(ballot, state), higher);
        }
        byte[] known = configurationByVersion.putIfAbsent(state.configurationVersion(), state.configuration());
        if (known != null && !Arrays.equals(known, state.configuration())) {
            violations.add(NAME, "two configurations of version " + state.configurationVersion());
        }
    }

    private void checkFollows(
            Map.Entry<ProposalNumber, SystemState> lower, Map.Entry<ProposalNumber, SystemState> higher) {
        String broken = lostItem(lower.getValue(), higher.getValue());
        if (broken != null) {
            violations.add(NAME, broken + " lost between " + lower.getKey() + " and " + higher.getKey());
        }
    }

    private static String lostItem(SystemState before, SystemState after) {
        boolean all = before.appliedChanges().changes().stream()
                .allMatch(change -> after.appliedChanges().recall(change) != Recall.NOT_APPLIED);
        if (!all) {
            return "a change";
        }
        if (after.configurationVersion() < before.configurationVersion()) {
            return "configuration " + before.configurationVersion();
        }
        for (Map.Entry<String, Long> weights : before.weights().entrySet()) {
            if (after.weights().getOrDefault(weights.getKey(), 0L) < weights.getValue()) {
                return "weights " + weights;
            }
        }
        for (Map.Entry<String, Lease> owner : before.owners().entrySet()) {
            Lease later = after.owners().get(owner.getKey());
            if (later == null
                    || later.token() < owner.getValue().token()
                    || later.token() == owner.getValue().token() && !later.equals(owner.getValue())) {
                return "owner " + owner;
            }
        }
        return after.nextToken() < before.nextToken() ? "a token" : null;
    }

    /** The newest that is known as chosen. */
    SystemState newest() {
        return chosenByBallot.isEmpty()
                ? SystemState.EMPTY
                : chosenByBallot.lastEntry().getValue();
    }

    /** Whether a configuration is one that was chosen. */
    boolean isChosen(long version, byte[] json) {
        return Arrays.equals(configurationByVersion.get(version), json);
    }
}
