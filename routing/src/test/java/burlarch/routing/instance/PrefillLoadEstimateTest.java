package burlarch.routing.instance;

import static burlarch.routing.planner.Fixture.MILLI;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrefillLoadEstimateTest {
    private final PrefillLoadEstimate estimate = new PrefillLoadEstimate();

    @Test
    void anIdleEngineHasNoExpectedWait() {
        assertThat(estimate.waitNanos(0)).isZero();
    }

    @Test
    void theExpectedWaitGrowsWithTheLoad() {
        PrefillLoadEstimate busierEstimate = new PrefillLoadEstimate();
        for (int i = 0; i < 20; i++) {
            estimate.onPrefilled(30 * MILLI, i * 100 * MILLI);
            busierEstimate.onPrefilled(80 * MILLI, i * 100 * MILLI);
        }
        long nowNanos = 1_900 * MILLI;
        assertThat(estimate.load(nowNanos)).isBetween(0.25, 0.4);
        assertThat(busierEstimate.load(nowNanos)).isBetween(0.7, 0.95);
        assertThat(busierEstimate.waitNanos(nowNanos)).isGreaterThan(4 * estimate.waitNanos(nowNanos));
    }

    @Test
    void pastPrefillingIsForgottenSoon() {
        estimate.onPrefilled(5_000 * MILLI, 0);
        assertThat(estimate.load(0)).isEqualTo(1);
        assertThat(estimate.load(5_000 * MILLI)).isLessThan(0.01);
    }
}
