package burlarch.simulation.coordination;

import java.util.ArrayList;
import java.util.List;

/**
 * A fleet and its troubles, as text: a first line that begins with {@code fleet}, then steps of a scenario.
 * Plays the same each time.
 */
public record CoordinationScenario(FleetPlan plan, List<String> faultSteps) {
    public CoordinationScenario {
        faultSteps = List.copyOf(faultSteps);
    }

    /** Reads what {@link #toString} wrote; comments and empty lines are passed over. */
    public static CoordinationScenario parse(String text) {
        FleetPlan plan = null;
        List<String> troubles = new ArrayList<>();
        for (String line :
                text.lines().map(line -> line.replaceFirst("#.*", "").trim()).toList()) {
            if (line.startsWith(FleetPlan.KEYWORD)) {
                plan = FleetPlan.parse(line);
            } else if (!line.isEmpty()) {
                troubles.add(line);
            }
        }
        if (plan == null) {
            throw new IllegalArgumentException("no line that begins with " + FleetPlan.KEYWORD);
        }
        return new CoordinationScenario(plan, troubles);
    }

    CoordinationScenario withFaultSteps(List<String> others) {
        return new CoordinationScenario(plan, others);
    }

    @Override
    public String toString() {
        return plan + "\n" + String.join("\n", faultSteps) + "\n";
    }
}
