package burlarch.routing.instance;

import static burlarch.routing.planner.Fixture.MILLI;
import static burlarch.routing.planner.Fixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.planner.Fixture;
import org.junit.jupiter.api.Test;

class TrackedInstanceTest {
    private final InstanceSpeed serviceAverage = new InstanceSpeed();
    private final TrackedInstance engine = new TrackedInstance(Fixture.engine("e", 1), serviceAverage);

    @Test
    void anEngineThatPrefilledMuchRecentlyIsNotLightlyLoaded() {
        assertThat(engine.isLightlyLoaded(0)).isTrue();
        engine.prefillLoad().onPrefilled(400 * MILLI, 0);
        assertThat(engine.isLightlyLoaded(0)).isFalse();
        assertThat(engine.isLightlyLoaded(2 * SECOND)).isTrue();
    }

    @Test
    void anEngineWhereRequestsWaitedRecentlyIsNotLightlyLoaded() {
        engine.load().onStillWaiting(700 * MILLI, 0);
        assertThat(engine.isLightlyLoaded(SECOND)).isFalse();
        assertThat(engine.isLightlyLoaded(2 * SECOND)).isTrue();
    }

    @Test
    void anEngineWithoutSamplesIsAsFastAsItsServiceOnAverage() {
        TrackedInstance other = new TrackedInstance(Fixture.engine("f", 1), serviceAverage);
        for (int i = 0; i < 40; i++) {
            other.speed().onFirstEvent(6_000, 170 * MILLI);
        }
        assertThat(other.speed().prefillNanos(6_000)).isLessThan(150 * MILLI);
        assertThat(engine.speed().prefillNanos(6_000)).isEqualTo(other.speed().prefillNanos(6_000));
    }

    @Test
    void halfOfTheUnprefilledTokensCountUntilTheirFirstEvent() {
        engine.load().onSent(8_000, 0, engine.speed(), 0);
        assertThat(engine.load().backlogTokens(engine.speed(), SECOND)).isEqualTo(4_000);
        engine.load().onPrefilled(8_000);
        assertThat(engine.load().backlogTokens(engine.speed(), SECOND + MILLI)).isLessThan(4_000);
        assertThat(engine.load().backlogTokens(engine.speed(), 2 * SECOND)).isZero();
    }
}
