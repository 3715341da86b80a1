package burlarch.simulation.coordination;

import java.util.ArrayList;
import java.util.List;

/** Adds steps of wall clocks to a scenario, which must not change its run. */
public final class WallClockSteps {
    private WallClockSteps() {}

    /** The scenario, with two steps of wall clocks. */
    public static CoordinationScenario addedTo(CoordinationScenario scenario) {
        List<String> steps = new ArrayList<>(scenario.faultSteps());
        steps.add("at 05 clock core-1,router-1 2.4 for 6");
        steps.add("at 12 clock all -3600");
        return scenario.withFaultSteps(steps);
    }
}
