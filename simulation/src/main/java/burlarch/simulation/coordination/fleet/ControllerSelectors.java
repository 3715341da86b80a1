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
 * Resolves selectors by which a scenario names a controller for what it did or is, as it is when a step is performed.
 *
 * <pre>
 * {@literal @}leader  last acknowledged a change or sent an order
 * {@literal @}reader  last answered a read
 * {@literal @}oldest  has the disk that has lasted longest
 * {@literal @}newest  has the youngest disk
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

    /** The controller acknowledged a change or sends an order. */
    void onActed(String controller) {
        leader = Optional.of(controller);
    }

    /** The controller answered a read. */
    void onReadAnswered(String controller) {
        reader = Optional.of(controller);
    }

    /** The controller's disk is empty from now on. */
    void onEmptyDisk(String controller) {
        diskCreatedNanos.put(controller, fleet.simulation().now());
    }

    /** Whether a word is such a selector. */
    static boolean isSelector(String word) {
        return word.startsWith(PREFIX);
    }

    /** The controller that a selector stands for: one name, or none where no controller is in use. */
    Set<String> select(String selector) {
        List<String> inUse = fleet.controllersInUse();
        return inUse.isEmpty() ? Set.of() : new LinkedHashSet<>(List.of(selectOne(selector, inUse)));
    }

    private String selectOne(String selector, List<String> inUse) {
        String what = selector.substring(PREFIX.length());
        return switch (what) {
            case "leader" -> leader.filter(inUse::contains).orElse(inUse.get(0));
            case "reader" -> reader.filter(inUse::contains).orElse(inUse.get(0));
            case "oldest" -> byDiskAge(inUse).get(0);
            case "newest" -> byDiskAge(inUse).get(inUse.size() - 1);
            case "seed" -> firstSeed(inUse);
            default -> inUse.get(Math.floorMod(Integer.parseInt(what) - 1, inUse.size()));
        };
    }

    /** Oldest first; among disks of the same age, which those of the first start are, in the order of use. */
    private List<String> byDiskAge(List<String> inUse) {
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
