package burlarch.simulation.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Controllers that a scenario names by what they did or are, as it is when a step is taken.
 *
 * <pre>
 * {@literal @}leader  acknowledged a change or sent an order last
 * {@literal @}reader  answered a read last
 * {@literal @}oldest  its disk has lasted longest
 * {@literal @}newest  its disk is the youngest
 * {@literal @}seed    the first in use that the settings name
 * {@literal @}3       the third in use
 * </pre>
 */
final class ControllerSelectors {
    private static final String MARK = "@";

    private final CoordinationFleet fleet;
    private final Map<String, Long> diskBirths = new HashMap<>();
    private String leader;
    private String reader;

    ControllerSelectors(CoordinationFleet fleet) {
        this.fleet = fleet;
    }

    void onActed(String controller) {
        leader = controller;
    }

    void onRead(String controller) {
        reader = controller;
    }

    /** The controller's disk is empty from now on. */
    void onEmptyDisk(String controller) {
        diskBirths.put(controller, fleet.simulation().now());
    }

    static boolean isTarget(String word) {
        return word.startsWith(MARK);
    }

    /** The machines that a word with such a mark stands for: one, or none where no controller is in use. */
    Set<String> named(String word) {
        List<String> inUse = fleet.controllersInUse();
        if (inUse.isEmpty()) {
            return Set.of();
        }
        String one =
                switch (word.substring(1)) {
                    case "leader" -> leader != null && inUse.contains(leader) ? leader : inUse.get(0);
                    case "reader" -> reader != null && inUse.contains(reader) ? reader : inUse.get(0);
                    case "oldest" -> byAge(inUse).get(0);
                    case "newest" -> byAge(inUse).get(inUse.size() - 1);
                    case "seed" -> seed(inUse);
                    default -> inUse.get(Math.floorMod(Integer.parseInt(word.substring(1)) - 1, inUse.size()));
                };
        return new LinkedHashSet<>(List.of(one));
    }

    private List<String> byAge(List<String> inUse) {
        List<String> sorted = new ArrayList<>(inUse);
        sorted.sort((one, other) -> Long.compare(diskBirths.getOrDefault(one, 0L), diskBirths.getOrDefault(other, 0L)));
        return sorted;
    }

    private String seed(List<String> inUse) {
        return fleet.seeds().stream()
                .map(FleetPlan::controllerAt)
                .filter(inUse::contains)
                .findFirst()
                .orElse(inUse.get(0));
    }
}
