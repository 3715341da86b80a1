package burlarch.simulation.coordination;

import java.util.ArrayList;
import java.util.List;

/** Adds wall-clock steps to a scenario; they must not change its result. */
public final class WallClockSteps {
    private WallClockSteps() {}

    /** Returns the scenario with two wall-clock steps added. */
    public static CoordinationScenario addedTo(CoordinationScenario scenario) {
        List<String> steps = new ArrayList<>(scenario.faultSteps());
        steps.add("at 05 clock core-1,router-1 2.4 for 6");
        steps.add("at 12 clock all -3600");
        return scenario.withFaultSteps(steps);
    }
}
