package burlarch.simulation.coordination;

import burlarch.simulation.coordination.plan.FleetPlan;
import java.util.ArrayList;
import java.util.List;

/**
 * A fleet and the faults that strike it. As text: a line that begins with {@code fleet}, then the steps of a
 * {@link burlarch.simulation.scenario.Scenario}. The same text always gives the same run.
 *
 * @param faultSteps lines of a scenario
 */
public record CoordinationScenario(FleetPlan plan, List<String> faultSteps) {
    /** Copies the steps. */
    public CoordinationScenario {
        faultSteps = List.copyOf(faultSteps);
    }

    /** Parses what {@link #toString} wrote; skips comments and empty lines. */
    public static CoordinationScenario parse(String text) {
        FleetPlan plan = null;
        List<String> faultSteps = new ArrayList<>();
        for (String line :
                text.lines().map(line -> line.replaceFirst("#.*", "").trim()).toList()) {
            if (line.startsWith(FleetPlan.KEYWORD)) {
                plan = FleetPlan.parse(line);
            } else if (!line.isEmpty()) {
                faultSteps.add(line);
            }
        }
        if (plan == null) {
            throw new IllegalArgumentException("no line that begins with " + FleetPlan.KEYWORD);
        }
        return new CoordinationScenario(plan, faultSteps);
    }

    /** The same fleet with other faults. */
    CoordinationScenario withFaultSteps(List<String> others) {
        return new CoordinationScenario(plan, others);
    }

    @Override
    public String toString() {
        return plan + "\n" + String.join("\n", faultSteps) + "\n";
    }
}
