package burlarch.simulation.coordination;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** How often each pair of kinds of trouble met: both under way in one run, or one soon after the other. */
final class FaultCooccurrences {
    /** A trouble meets what begins within so many seconds after its end. */
    static final double SOON_SECONDS = 3;

    /** A trouble as it was drawn; times in seconds. */
    record FaultOccurrence(FaultKind kind, double from, double to) {
        boolean coincidesWith(FaultOccurrence other) {
            return from <= other.to + SOON_SECONDS && other.from <= to + SOON_SECONDS;
        }
    }

    private record Pair(FaultKind one, FaultKind other) {
        static Pair of(FaultKind one, FaultKind other) {
            return one.ordinal() <= other.ordinal() ? new Pair(one, other) : new Pair(other, one);
        }
    }

    private final Map<FaultKind, Map<FaultKind, Long>> counts = new EnumMap<>(FaultKind.class);

    private static List<Pair> pairs(List<FaultOccurrence> troubles) {
        List<Pair> pairs = new ArrayList<>();
        for (int i = 0; i < troubles.size(); i++) {
            for (int j = i + 1; j < troubles.size(); j++) {
                if (troubles.get(i).coincidesWith(troubles.get(j))) {
                    pairs.add(Pair.of(troubles.get(i).kind(), troubles.get(j).kind()));
                }
            }
        }
        return pairs;
    }

    /** Counts the meetings of one run. */
    void add(List<FaultOccurrence> troubles) {
        for (Pair pair : pairs(troubles)) {
            counts.computeIfAbsent(pair.one, key -> new EnumMap<>(FaultKind.class))
                    .merge(pair.other, 1L, Long::sum);
        }
    }

    /** How much a run would add to what has met least. */
    double novelty(List<FaultOccurrence> troubles) {
        double worth = 0;
        for (Pair pair : pairs(troubles)) {
            worth += 1.0 / (1 + count(pair.one, pair.other));
        }
        return worth;
    }

    /** How often two kinds met. */
    long count(FaultKind one, FaultKind other) {
        Pair pair = Pair.of(one, other);
        return counts.getOrDefault(pair.one, Map.of()).getOrDefault(pair.other, 0L);
    }

    /** One line for each pair, in the order of the kinds: the count, then both kinds. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (FaultKind one : FaultKind.values()) {
            for (FaultKind other : FaultKind.values()) {
                if (one.ordinal() <= other.ordinal()) {
                    lines.add(count(one, other) + "\t" + one.label() + "\t" + other.label());
                }
            }
        }
        return lines;
    }

    /** Pairs that never met, the least count of the others, and the sum of all. */
    String summary() {
        long never = 0;
        long least = Long.MAX_VALUE;
        long sum = 0;
        for (FaultKind one : FaultKind.values()) {
            for (FaultKind other : FaultKind.values()) {
                long count = one.ordinal() <= other.ordinal() ? count(one, other) : -1;
                never += count == 0 ? 1 : 0;
                least = count > 0 ? Math.min(least, count) : least;
                sum += Math.max(0, count);
            }
        }
        return sum + " meetings; " + never + " pairs never met, the others at least "
                + (least == Long.MAX_VALUE ? 0 : least) + " times";
    }
}
