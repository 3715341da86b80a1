package burlarch.simulation.coordination.fleet;

import burlarch.simulation.coordination.plan.FleetNames;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Resolver of selectors, by which a scenario names a controller by its role or state at the time of a step.
 *
 * <pre>
 * {@literal @}leader  last acknowledged a change or sent an order
 * {@literal @}reader  last answered a read
 * {@literal @}oldest  has the disk that was created or erased first
 * {@literal @}newest  has the disk that was created or erased last
 * {@literal @}seed    the first one in use that the settings name
 * {@literal @}3       the third one in use
 * </pre>
 */
final class ControllerSelectors {
    private static final String PREFIX = "@";

    private final CoordinationFleet fleet;
    private final Map<String, Long> diskCreatedNanos = new HashMap<>();
    private Optional<String> leader = Optional.empty();
    private Optional<String> reader = Optional.empty();

    ControllerSelectors(CoordinationFleet fleet) {
        this.fleet = fleet;
    }

    /** Records that the controller acknowledged a change or sends an order. */
    void onActed(String controller) {
        leader = Optional.of(controller);
    }

    /** Records that the controller answered a read. */
    void onReadAnswered(String controller) {
        reader = Optional.of(controller);
    }

    /** Records that the controller's disk is empty now. */
    void onEmptyDisk(String controller) {
        diskCreatedNanos.put(controller, fleet.simulation().now());
    }

    /** Returns whether a word is a selector. */
    static boolean isSelector(String word) {
        return word.startsWith(PREFIX);
    }

    /** Returns the name of the controller that a selector denotes; empty if no controller is in use. */
    Set<String> select(String selector) {
        List<String> inUse = fleet.controllersInUse();
        return inUse.isEmpty() ? Set.of() : new LinkedHashSet<>(List.of(selectName(selector, inUse)));
    }

    private String selectName(String selector, List<String> inUse) {
        String criterion = selector.substring(PREFIX.length());
        return switch (criterion) {
            case "leader" -> leader.filter(inUse::contains).orElse(inUse.get(0));
            case "reader" -> reader.filter(inUse::contains).orElse(inUse.get(0));
            case "oldest" -> sortByDiskAge(inUse).get(0);
            case "newest" -> sortByDiskAge(inUse).get(inUse.size() - 1);
            case "seed" -> firstSeed(inUse);
            default -> inUse.get(Math.floorMod(Integer.parseInt(criterion) - 1, inUse.size()));
        };
    }

    /**
     * Sorts by disk age, oldest first; disks of the same age, as all are at the first start, stay in the given order.
     */
    private List<String> sortByDiskAge(List<String> inUse) {
        return inUse.stream()
                .sorted(Comparator.comparingLong(name -> diskCreatedNanos.getOrDefault(name, 0L)))
                .toList();
    }

    private String firstSeed(List<String> inUse) {
        return fleet.seedAddresses().stream()
                .map(FleetNames::controllerAt)
                .filter(inUse::contains)
                .findFirst()
                .orElse(inUse.get(0));
    }
}
