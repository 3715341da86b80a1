package burlarch.emulator.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the plans that a soak draws. */
class SoakPlanTest {
    private static final int ROUTERS = 3;
    private static final int CONTROLLERS = 3;
    private static final long MILLIS = 60_000;

    private static List<SoakPlan.Step> draw(long seed) {
        return SoakPlan.draw(seed, MILLIS, ROUTERS, CONTROLLERS);
    }

    @Test
    void sameSeedGivesSamePlan() {
        assertThat(draw(7)).isEqualTo(draw(7)).isNotEqualTo(draw(8));
    }

    @Test
    void stepsOfASeriesOverlapAndAllTargetsExist() {
        boolean overlap = false;
        for (long seed = 1; seed <= 20; seed++) {
            List<SoakPlan.Step> steps = draw(seed);
            for (int i = 0; i < steps.size(); i++) {
                SoakPlan.Step step = steps.get(i);
                assertThat(step.target()).isBetween(0, ROUTERS - 1);
                assertThat(step.atMillis()).isLessThan(MILLIS);
                overlap |= i > 0 && step.atMillis() - steps.get(i - 1).atMillis() < step.lengthMillis();
            }
        }
        assertThat(overlap).isTrue();
    }

    @Test
    void fewSeedsDrawEveryFault() {
        Set<SoakFault> drawn = EnumSet.noneOf(SoakFault.class);
        for (long seed = 1; seed <= 20; seed++) {
            draw(seed).forEach(step -> drawn.add(step.fault()));
        }
        assertThat(drawn).containsExactlyInAnyOrder(SoakFault.values());
    }
}
