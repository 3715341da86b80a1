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
 * Checker of {@link Rule#COMMITTED_CHAIN}: at most one value is committed for each proposal number, and a value with a
 * higher number holds all changes, weights, leases and tokens of every value with a lower one. Holds all values that
 * any controller has learned as committed.
 */
public final class CommittedChainChecker {
    private final ViolationLog violations;
    private final TreeMap<ProposalNumber, SystemState> committedByNumber = new TreeMap<>();
    private final Map<Long, byte[]> configurationByVersion = new HashMap<>();

    CommittedChainChecker(ViolationLog violations) {
        this.violations = violations;
    }

    /** Records that a controller learned a committed value, and checks it against the values next to its number. */
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
            checkSuccessor(lower, Map.entry(number, state));
        }
        if (higher != null) {
            checkSuccessor(Map.entry(number, state), higher);
        }
        checkOneConfigurationPerVersion(state);
    }

    private void checkOneConfigurationPerVersion(SystemState state) {
        byte[] known = configurationByVersion.putIfAbsent(state.configurationVersion(), state.configuration());
        if (known != null && !Arrays.equals(known, state.configuration())) {
            violations.add(Rule.COMMITTED_CHAIN, "two configurations of version " + state.configurationVersion());
        }
    }

    private void checkSuccessor(
            Map.Entry<ProposalNumber, SystemState> lower, Map.Entry<ProposalNumber, SystemState> higher) {
        findLostItem(lower.getValue(), higher.getValue())
                .ifPresent(item -> violations.add(
                        Rule.COMMITTED_CHAIN, item + " lost between " + lower.getKey() + " and " + higher.getKey()));
    }

    /** Describes an item of the earlier state that the later one lacks; empty if the later state holds all. */
    private static Optional<String> findLostItem(SystemState before, SystemState after) {
        boolean holdsAllChanges = before.appliedChanges().changes().stream()
                .allMatch(change -> after.appliedChanges().recall(change) != Recall.NOT_APPLIED);
        if (!holdsAllChanges) {
            return Optional.of("a change");
        }
        if (after.configurationVersion() < before.configurationVersion()) {
            return Optional.of("configuration " + before.configurationVersion());
        }
        return findLostWeights(before, after)
                .or(() -> findLostOwner(before, after))
                .or(() -> after.nextToken() < before.nextToken() ? Optional.of("a token") : Optional.empty());
    }

    private static Optional<String> findLostWeights(SystemState before, SystemState after) {
        return before.weights().entrySet().stream()
                .filter(weights -> after.weights().getOrDefault(weights.getKey(), 0L) < weights.getValue())
                .findFirst()
                .map(weights -> "weights " + weights);
    }

    private static Optional<String> findLostOwner(SystemState before, SystemState after) {
        return before.owners().entrySet().stream()
                .filter(owner ->
                        !isSameOrNewerLease(owner.getValue(), after.owners().get(owner.getKey())))
                .findFirst()
                .map(owner -> "owner " + owner);
    }

    /** Returns whether {@code later} is the earlier lease itself or has a higher fencing token. */
    private static boolean isSameOrNewerLease(Lease earlier, Lease later) {
        return later != null
                && later.token() >= earlier.token()
                && (later.token() != earlier.token() || later.equals(earlier));
    }

    /** Returns the committed value with the highest proposal number; the empty state before the first. */
    SystemState newest() {
        return committedByNumber.isEmpty()
                ? SystemState.EMPTY
                : committedByNumber.lastEntry().getValue();
    }

    /** Returns whether this configuration was committed with this version. */
    boolean isCommitted(long version, byte[] json) {
        return Arrays.equals(configurationByVersion.get(version), json);
    }
}
