package burlarch.simulation.coordination;

import burlarch.simulation.coordination.plan.FleetPlan;
import java.util.ArrayList;
import java.util.List;

/**
 * A fleet plan and the fault steps of a run. The text form is a line that begins with {@code fleet}, then the steps of
 * a {@link burlarch.simulation.scenario.Scenario}. Runs are deterministic: the same text always gives the same run.
 *
 * @param faultSteps scenario lines, one step each
 */
public record CoordinationScenario(FleetPlan plan, List<String> faultSteps) {
    /** Copies the steps. */
    public CoordinationScenario {
        faultSteps = List.copyOf(faultSteps);
    }

    /** Parses the text form that {@link #toString} returns; skips comments and empty lines. */
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
            throw new IllegalArgumentException("scenario has no line that begins with " + FleetPlan.KEYWORD);
        }
        return new CoordinationScenario(plan, faultSteps);
    }

    /** Returns a scenario with the same fleet and other fault steps. */
    CoordinationScenario withFaultSteps(List<String> otherSteps) {
        return new CoordinationScenario(plan, otherSteps);
    }

    @Override
    public String toString() {
        return plan + "\n" + String.join("\n", faultSteps) + "\n";
    }
}
