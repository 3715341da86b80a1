package burlarch.routing.instance;

import static burlarch.routing.planner.Fixture.MILLI;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StoreLivenessMonitorTest {
    private final StoreLivenessMonitor watch = new StoreLivenessMonitor();

    private void save(int count, long from) {
        for (int i = 0; i < count; i++) {
            watch.onSaveDue(from + i * 50 * MILLI);
        }
    }

    @Test
    void severalSavesOfWhichNothingIsHeardMeanThatItIsDown() {
        watch.onEventsReceived();
        save(3, 0);
        assertThat(watch.isUnresponsive(400 * MILLI)).isFalse();
        assertThat(watch.isUnresponsive(600 * MILLI)).isTrue();
    }

    @Test
    void aWordOfItEndsTheDoubt() {
        watch.onEventsReceived();
        save(5, 0);
        watch.onEventsReceived();
        assertThat(watch.isUnresponsive(600 * MILLI)).isFalse();
    }

    @Test
    void oneEventThatWentMissingTellsNothing() {
        watch.onEventsReceived();
        save(1, 0);
        assertThat(watch.isUnresponsive(5_000 * MILLI)).isFalse();
    }

    @Test
    void aStoreThatIsNotFollowedIsNotDoubted() {
        save(9, 0);
        assertThat(watch.isUnresponsive(5_000 * MILLI)).isFalse();
    }
}
