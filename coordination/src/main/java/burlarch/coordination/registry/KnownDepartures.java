package burlarch.coordination.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The agreed departures of instances, as this controller knows them, with the time at which it learned each. For the
 * retention time from then on an announcement may have been sent before the departure; later it is that of an instance
 * that has returned. Times are nanoseconds of a monotonic
 * clock. Bounded by the agreed departures. Not thread-safe.
 */
final class KnownDepartures {
    private record KnownDeparture(long number, long learnedAtNanos) {}

    private final long retentionNanos;
    private final Map<String, KnownDeparture> byId = new HashMap<>();
    /** The departures of the last call of {@link #update}. */
    private Map<String, Long> agreed = Map.of();

    KnownDepartures(long retentionNanos) {
        this.retentionNanos = retentionNanos;
    }

    /**
     * Replaces the departures.
     *
     * @param numbers number of the departure, by the id of the instance
     * @return the ids of the instances whose departure was not known before
     */
    Set<String> update(Map<String, Long> numbers, long nowNanos) {
        Set<String> learned = new HashSet<>();
        if (agreed.equals(numbers)) {
            return learned;
        }
        agreed = numbers;
        byId.keySet().retainAll(numbers.keySet());
        numbers.forEach((id, number) -> {
            KnownDeparture known = byId.get(id);
            if (known == null || known.number() != number) {
                byId.put(id, new KnownDeparture(number, nowNanos));
                learned.add(id);
            }
        });
        return learned;
    }

    /** Returns the number of an instance's departure, empty if no departure of it is known. */
    OptionalLong numberOf(String id) {
        KnownDeparture known = byId.get(id);
        return known == null ? OptionalLong.empty() : OptionalLong.of(known.number());
    }

    /** Whether an announcement of the instance may have been sent before its departure. */
    boolean mayPrecede(String id, long nowNanos) {
        KnownDeparture known = byId.get(id);
        return known != null && nowNanos - known.learnedAtNanos() < retentionNanos;
    }
}
