package burlarch.simulation.operators;

import burlarch.simulation.operators.OperatorHistory.Change;
import burlarch.simulation.operators.OperatorHistory.Outcome;
import burlarch.simulation.operators.OperatorHistory.Read;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Linearizability checker: searches for a sequential order of all calls, each at one moment between its start and its
 * response, in which a single register gives the same responses. Uses the search of Wing and Gong with Lowe's cache
 * of visited states.
 *
 * <p>Register: a change is applied if its base is the current version, and its version then becomes the current one.
 * A conflict is allowed only while the current version is above the base, so that it stays true. An invalid change may
 * be rejected at any moment and is never applied. A change with an unknown outcome takes effect at any moment after
 * its start, or never. Rejections and reads change nothing, so each is placed at the first moment that allows it.
 * Versions increase, so a set of changes has only one possible order, and each set is visited once.
 */
final class LinearizabilityChecker {
    private record State(long version, String mark, Set<String> tenants) {}

    private static final State INITIAL = new State(0, "", Set.of());

    private final List<Change> effects = new ArrayList<>();
    private final List<Change> rejections = new ArrayList<>();
    private final List<Read> reads;
    private final Set<BitSet> visited = new HashSet<>();

    private LinearizabilityChecker(OperatorHistory history) {
        for (Change change : history.changes()) {
            if (change.outcome() == Outcome.CONFLICT || change.outcome() == Outcome.INVALID) {
                rejections.add(change);
            } else if (change.outcome() == Outcome.APPLIED || !change.change().isInvalid()) {
                effects.add(change);
            }
        }
        reads = history.reads();
    }

    /** Returns whether a single register can produce the history. */
    static boolean isLinearizable(OperatorHistory history) {
        LinearizabilityChecker checker = new LinearizabilityChecker(history);
        boolean rejectionsAllowed = checker.rejections.stream()
                .allMatch(change ->
                        change.outcome() == Outcome.CONFLICT || change.change().isInvalid());
        return history.contradictions().isEmpty()
                && rejectionsAllowed
                && checker.search(new Progress(checker), INITIAL);
    }

    /** The calls that the search has placed in the order so far. */
    private static final class Progress {
        private final BitSet effects;
        private final BitSet rejections;
        private final BitSet reads;

        Progress(LinearizabilityChecker checker) {
            this(
                    new BitSet(checker.effects.size()),
                    new BitSet(checker.rejections.size()),
                    new BitSet(checker.reads.size()));
        }

        private Progress(BitSet effects, BitSet rejections, BitSet reads) {
            this.effects = effects;
            this.rejections = rejections;
            this.reads = reads;
        }

        Progress copy() {
            return new Progress((BitSet) effects.clone(), (BitSet) rejections.clone(), (BitSet) reads.clone());
        }
    }

    private boolean search(Progress progress, State state) {
        if (!visited.add((BitSet) progress.effects.clone())) {
            return false;
        }
        placeCallsWithoutEffect(progress, state);
        long earliestResponseNanos = earliestUnplacedResponse(progress);
        if (earliestResponseNanos == OperatorHistory.NEVER) {
            return true;
        }
        for (int i = 0; i < effects.size(); i++) {
            Change candidate = effects.get(i);
            OperatorChange order = candidate.change();
            if (!progress.effects.get(i)
                    && candidate.startNanos() <= earliestResponseNanos
                    && order.ifMatch() == state.version()
                    && !order.isInvalid()) {
                Progress nextProgress = progress.copy();
                nextProgress.effects.set(i);
                State nextState = new State(order.version(), order.mark(), order.tenantsAfter(state.tenants()));
                if (search(nextProgress, nextState)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Places all unplaced calls that change nothing and are consistent with the state. */
    private void placeCallsWithoutEffect(Progress progress, State state) {
        long earliestResponseNanos = earliestUnplacedResponse(progress);
        for (int i = 0; i < rejections.size(); i++) {
            Change rejection = rejections.get(i);
            OperatorChange order = rejection.change();
            boolean fits = order.isInvalid() || state.version() > order.ifMatch();
            if (fits && rejection.startNanos() <= earliestResponseNanos) {
                progress.rejections.set(i);
            }
        }
        for (int i = 0; i < reads.size(); i++) {
            Read read = reads.get(i);
            boolean fits = read.version() == state.version()
                    && read.mark().equals(state.mark())
                    && read.tenants().equals(state.tenants());
            if (fits && read.startNanos() <= earliestResponseNanos) {
                progress.reads.set(i);
            }
        }
        if (earliestUnplacedResponse(progress) > earliestResponseNanos) {
            placeCallsWithoutEffect(progress, state);
        }
    }

    /**
     * Returns the earliest response to an unplaced call: a call that started later may not be placed before that call.
     */
    private long earliestUnplacedResponse(Progress progress) {
        long earliestNanos = OperatorHistory.NEVER;
        for (int i = 0; i < effects.size(); i++) {
            earliestNanos = progress.effects.get(i)
                    ? earliestNanos
                    : Math.min(earliestNanos, effects.get(i).answeredNanos());
        }
        for (int i = 0; i < rejections.size(); i++) {
            earliestNanos = progress.rejections.get(i)
                    ? earliestNanos
                    : Math.min(earliestNanos, rejections.get(i).answeredNanos());
        }
        for (int i = 0; i < reads.size(); i++) {
            earliestNanos = progress.reads.get(i)
                    ? earliestNanos
                    : Math.min(earliestNanos, reads.get(i).answeredNanos());
        }
        return earliestNanos;
    }
}
