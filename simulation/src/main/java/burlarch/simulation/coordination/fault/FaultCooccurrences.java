package burlarch.simulation.coordination.fault;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Counts how often each pair of kinds of faults coincided in the runs of a search: the coverage of the search, by which
 * it prefers schedules with pairs that are rare so far.
 */
public final class FaultCooccurrences {
    /** An unordered pair; the kind that is declared first comes first. */
    private record Pair(FaultKind first, FaultKind second) {
        static Pair of(FaultKind one, FaultKind other) {
            return one.ordinal() <= other.ordinal() ? new Pair(one, other) : new Pair(other, one);
        }
    }

    private final Map<FaultKind, Map<FaultKind, Long>> counts = new EnumMap<>(FaultKind.class);

    private static List<Pair> coincidingPairs(FaultSchedule schedule) {
        List<FaultOccurrence> faults = schedule.occurrences();
        List<Pair> pairs = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            for (int j = i + 1; j < faults.size(); j++) {
                if (faults.get(i).coincidesWith(faults.get(j))) {
                    pairs.add(Pair.of(faults.get(i).kind(), faults.get(j).kind()));
                }
            }
        }
        return pairs;
    }

    /** Counts the pairs of one run. */
    public void add(FaultSchedule schedule) {
        for (Pair pair : coincidingPairs(schedule)) {
            counts.computeIfAbsent(pair.first(), key -> new EnumMap<>(FaultKind.class))
                    .merge(pair.second(), 1L, Long::sum);
        }
    }

    /** How much a schedule would add to the rare pairs: the sum of 1 / (1 + count) over its pairs. */
    public double novelty(FaultSchedule schedule) {
        double novelty = 0;
        for (Pair pair : coincidingPairs(schedule)) {
            novelty += 1.0 / (1 + count(pair));
        }
        return novelty;
    }

    private long count(Pair pair) {
        return counts.getOrDefault(pair.first(), Map.of()).getOrDefault(pair.second(), 0L);
    }

    private static List<Pair> allPairs() {
        List<Pair> pairs = new ArrayList<>();
        for (FaultKind first : FaultKind.values()) {
            for (FaultKind second : FaultKind.values()) {
                if (first.ordinal() <= second.ordinal()) {
                    pairs.add(new Pair(first, second));
                }
            }
        }
        return pairs;
    }

    /** One line for each pair, in the order of the kinds: the count and both labels, separated by tabs. */
    public List<String> lines() {
        return allPairs().stream()
                .map(pair -> count(pair) + "\t" + pair.first().label() + "\t"
                        + pair.second().label())
                .toList();
    }

    /** Number of coincidences, pairs that never coincided, and the least count of the others. */
    public String summary() {
        List<Long> all = allPairs().stream().map(this::count).toList();
        long sum = all.stream().mapToLong(Long::longValue).sum();
        long never = all.stream().filter(count -> count == 0).count();
        long least = all.stream()
                .filter(count -> count > 0)
                .mapToLong(Long::longValue)
                .min()
                .orElse(0);
        return sum + " meetings; " + never + " pairs never met, the others at least " + least + " times";
    }
}
