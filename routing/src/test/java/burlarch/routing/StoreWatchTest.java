package burlarch.routing;

import static burlarch.routing.Fixture.MILLI;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StoreWatchTest {
    private final StoreWatch watch = new StoreWatch();

    private void save(int count, long from) {
        for (int i = 0; i < count; i++) {
            watch.onSaveDue(from + i * 50 * MILLI);
        }
    }

    @Test
    void severalSavesOfWhichNothingIsHeardMeanThatItIsDown() {
        watch.onHeard();
        save(3, 0);
        assertThat(watch.isSilent(400 * MILLI)).isFalse();
        assertThat(watch.isSilent(600 * MILLI)).isTrue();
    }

    @Test
    void aWordOfItEndsTheDoubt() {
        watch.onHeard();
        save(5, 0);
        watch.onHeard();
        assertThat(watch.isSilent(600 * MILLI)).isFalse();
    }

    @Test
    void oneEventThatWentMissingTellsNothing() {
        watch.onHeard();
        save(1, 0);
        assertThat(watch.isSilent(5_000 * MILLI)).isFalse();
    }

    @Test
    void aStoreThatIsNotFollowedIsNotDoubted() {
        save(9, 0);
        assertThat(watch.isSilent(5_000 * MILLI)).isFalse();
    }
}
