package burlarch.simulation.coordination.check;

import burlarch.controller.state.AppliedChanges.Recall;
import burlarch.controller.state.Lease;
import burlarch.controller.state.SystemState;
import burlarch.controller.state.SystemStateCodec;
import burlarch.coordination.register.ProposalNumber;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Verifies {@link Rule#COMMITTED_CHAIN}: one value is committed for a proposal number, and a value of a higher number
 * holds all changes, weights, leases and tokens of every value of a lower one. Knows all values that any controller
 * knew as committed.
 */
public final class CommittedChainChecker {
    private final ViolationLog violations;
    private final TreeMap<ProposalNumber, SystemState> committedByNumber = new TreeMap<>();
    private final Map<Long, byte[]> configurationByVersion = new HashMap<>();

    CommittedChainChecker(ViolationLog violations) {
        this.violations = violations;
    }

    /** A controller knows that a value is committed. */
    void onCommitted(String machine, ProposalNumber number, SystemState state) {
        SystemState known = committedByNumber.putIfAbsent(number, state);
        if (known != null) {
            if (!Arrays.equals(SystemStateCodec.encode(known), SystemStateCodec.encode(state))) {
                violations.add(Rule.COMMITTED_CHAIN, "two values committed at " + number + ", seen by " + machine);
            }
            return;
        }
        Map.Entry<ProposalNumber, SystemState> lower = committedByNumber.lowerEntry(number);
        Map.Entry<ProposalNumber, SystemState> higher = committedByNumber.higherEntry(number);
        if (lower != null) {
            checkFollows(lower, Map.entry(number, state));
        }
        if (higher != null) {
            checkFollows(Map.entry(number, state), higher);
        }
        checkOneConfigurationPerVersion(state);
    }

    private void checkOneConfigurationPerVersion(SystemState state) {
        byte[] known = configurationByVersion.putIfAbsent(state.configurationVersion(), state.configuration());
        if (known != null && !Arrays.equals(known, state.configuration())) {
            violations.add(Rule.COMMITTED_CHAIN, "two configurations of version " + state.configurationVersion());
        }
    }

    private void checkFollows(
            Map.Entry<ProposalNumber, SystemState> lower, Map.Entry<ProposalNumber, SystemState> higher) {
        lostItem(lower.getValue(), higher.getValue())
                .ifPresent(item -> violations.add(
                        Rule.COMMITTED_CHAIN, item + " lost between " + lower.getKey() + " and " + higher.getKey()));
    }

    /** What a later state lacks of an earlier one; empty where it holds all. */
    private static Optional<String> lostItem(SystemState before, SystemState after) {
        boolean holdsChanges = before.appliedChanges().changes().stream()
                .allMatch(change -> after.appliedChanges().recall(change) != Recall.NOT_APPLIED);
        if (!holdsChanges) {
            return Optional.of("a change");
        }
        if (after.configurationVersion() < before.configurationVersion()) {
            return Optional.of("configuration " + before.configurationVersion());
        }
        return lostWeights(before, after)
                .or(() -> lostOwner(before, after))
                .or(() -> after.nextToken() < before.nextToken() ? Optional.of("a token") : Optional.empty());
    }

    private static Optional<String> lostWeights(SystemState before, SystemState after) {
        return before.weights().entrySet().stream()
                .filter(weights -> after.weights().getOrDefault(weights.getKey(), 0L) < weights.getValue())
                .findFirst()
                .map(weights -> "weights " + weights);
    }

    private static Optional<String> lostOwner(SystemState before, SystemState after) {
        return before.owners().entrySet().stream()
                .filter(owner -> !follows(owner.getValue(), after.owners().get(owner.getKey())))
                .findFirst()
                .map(owner -> "owner " + owner);
    }

    /** Whether a lease is the earlier one, or one with a higher fencing token. */
    private static boolean follows(Lease earlier, Lease later) {
        return later != null
                && later.token() >= earlier.token()
                && (later.token() != earlier.token() || later.equals(earlier));
    }

    /** The newest value that is known as committed; the empty state before the first. */
    SystemState newest() {
        return committedByNumber.isEmpty()
                ? SystemState.EMPTY
                : committedByNumber.lastEntry().getValue();
    }

    /** Whether a configuration is one that was committed. */
    boolean isCommitted(long version, byte[] json) {
        return Arrays.equals(configurationByVersion.get(version), json);
    }
}
