package burlarch.routing.instance;

import static burlarch.routing.planner.Fixture.MILLI;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrefillLoadEstimateTest {
    private final PrefillLoadEstimate reading = new PrefillLoadEstimate();

    @Test
    void anIdleEngineLetsNobodyWait() {
        assertThat(reading.waitNanos(0)).isZero();
    }

    @Test
    void theBusierAnEngineWasTheLongerTheWaitThatIsExpected() {
        PrefillLoadEstimate busier = new PrefillLoadEstimate();
        for (int i = 0; i < 20; i++) {
            reading.onPrefilled(30 * MILLI, i * 100 * MILLI);
            busier.onPrefilled(80 * MILLI, i * 100 * MILLI);
        }
        long now = 1_900 * MILLI;
        assertThat(reading.load(now)).isBetween(0.25, 0.4);
        assertThat(busier.load(now)).isBetween(0.7, 0.95);
        assertThat(busier.waitNanos(now)).isGreaterThan(4 * reading.waitNanos(now));
    }

    @Test
    void whatItReadIsForgottenSoon() {
        reading.onPrefilled(5_000 * MILLI, 0);
        assertThat(reading.load(0)).isEqualTo(1);
        assertThat(reading.load(5_000 * MILLI)).isLessThan(0.01);
    }
}
