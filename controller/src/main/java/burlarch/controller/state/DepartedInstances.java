package burlarch.controller.state;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The instances that drain or have left, as part of the {@link SystemState}, so that no late announcement brings one
 * back after the controllers' memory was lost. Immutable.
 *
 * <p>Invariant <em>departures are numbered once</em>: each departure has a number that no other departure ever has, not
 * even a later one of the same id. So a return that refers to a number never removes a newer departure.
 *
 * <p>Bounded: beyond {@link #MAX_INSTANCES} the departure with the lowest number is forgotten. That is more than the
 * largest fleet has instances, so a departure outlasts the replacement of all of them.
 *
 * @param lastNumber number of the newest departure ever; 0 if there was none
 * @param numbers number of the newest departure, by the id of the instance
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record DepartedInstances(@JsonProperty("n") long lastNumber, @JsonProperty("i") Map<String, Long> numbers) {
    /** Largest number of departures that are remembered. */
    public static final int MAX_INSTANCES = 1024;
    /** No instance has ever left. */
    public static final DepartedInstances NONE = new DepartedInstances(0, Map.of());

    public DepartedInstances {
        numbers = numbers == null ? Map.of() : Map.copyOf(numbers);
    }

    /** Returns the number of an instance's departure; empty if it has not left or its departure is forgotten. */
    public OptionalLong numberOf(String id) {
        Long number = numbers.get(id);
        return number == null ? OptionalLong.empty() : OptionalLong.of(number);
    }

    /** Returns a copy in which each of the instances has a new departure. */
    DepartedInstances with(Collection<String> ids) {
        Map<String, Long> changed = new HashMap<>(numbers);
        long number = lastNumber;
        for (String id : ids) {
            number++;
            changed.put(id, number);
        }
        while (changed.size() > MAX_INSTANCES) {
            changed.values().remove(Collections.min(changed.values()));
        }
        return new DepartedInstances(number, changed);
    }

    /** Returns a copy without the departure of an instance. */
    DepartedInstances without(String id) {
        Map<String, Long> changed = new HashMap<>(numbers);
        changed.remove(id);
        return new DepartedInstances(lastNumber, changed);
    }

    /** Jackson's filter: equals the value that is not written, so that such a state has the bytes of older releases. */
    static final class NoneFilter {
        @Override
        public boolean equals(Object value) {
            return NONE.equals(value);
        }

        @Override
        public int hashCode() {
            return NONE.hashCode();
        }
    }
}
