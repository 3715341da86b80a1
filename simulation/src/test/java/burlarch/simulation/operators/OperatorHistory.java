package burlarch.simulation.operators;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** History of the calls and responses that operators observed; holds no internal state of the fleet. */
final class OperatorHistory {
    static final long NEVER = Long.MAX_VALUE;

    /** Outcome of a change. */
    enum Outcome {
        APPLIED,
        CONFLICT,
        INVALID,
        UNCLEAR
    }

    /**
     * All calls for one change.
     *
     * @param startNanos time of the first call
     * @param answeredNanos time of the first clear response; {@link #NEVER} while unclear
     */
    record Change(OperatorChange change, long startNanos, long answeredNanos, Outcome outcome) {}

    /** A configuration that was read; version 0 and no tenants if there is none. */
    record Read(long startNanos, long answeredNanos, long version, String mark, Set<String> tenants) {}

    private final Map<OperatorChange, Change> changes = new LinkedHashMap<>();
    private final List<Read> reads = new ArrayList<>();
    private final List<String> contradictions = new ArrayList<>();

    /** Records that a change is about to be sent, for the first time or again. */
    void onSent(OperatorChange order, long now) {
        changes.putIfAbsent(order, new Change(order, now, NEVER, Outcome.UNCLEAR));
    }

    /** Records a clear response to a change. */
    void onClearResponse(OperatorChange order, Outcome outcome, long now) {
        Change recorded = changes.get(order);
        boolean wasApplied = recorded.outcome() == Outcome.APPLIED;
        if (recorded.outcome() == Outcome.UNCLEAR) {
            changes.put(order, new Change(order, recorded.startNanos(), now, outcome));
        } else if (wasApplied != (outcome == Outcome.APPLIED)) {
            contradictions.add(outcome + " at " + now + " after " + recorded);
        }
    }

    void onRead(Read read) {
        reads.add(read);
    }

    List<Change> changes() {
        return List.copyOf(changes.values());
    }

    List<Read> reads() {
        return List.copyOf(reads);
    }

    /** Returns responses that contradict an earlier response to the same change. */
    List<String> contradictions() {
        return List.copyOf(contradictions);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        changes.values().forEach(change -> text.append(change).append('\n'));
        reads.forEach(read -> text.append(read).append('\n'));
        return text.toString();
    }
}
