package burlarch.coordination.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class VersionTimelineTest {
    private final VersionTimeline timeline = new VersionTimeline();

    @Test
    void aVersionIsSupersededSinceTheFirstNewerOneHoweverManyFollow() {
        timeline.add(3, 100);
        timeline.add(5, 200);
        timeline.add(9, 300);

        assertThat(timeline.supersededAtNanos(2)).hasValue(100);
        assertThat(timeline.supersededAtNanos(3)).hasValue(200);
        assertThat(timeline.supersededAtNanos(4)).hasValue(200);
        assertThat(timeline.supersededAtNanos(5)).hasValue(300);
        assertThat(timeline.supersededAtNanos(9)).isEmpty();
    }

    @Test
    void aVersionThatIsNotNewerChangesNothing() {
        timeline.add(5, 100);
        timeline.add(5, 200);
        timeline.add(4, 300);

        assertThat(timeline.newest()).isEqualTo(5);
        assertThat(timeline.supersededAtNanos(4)).hasValue(100);
    }

    @Test
    void theNewestVersionKnownForSomeTimeIsNotTheNewest() {
        timeline.add(3, 100);
        timeline.add(5, 200);

        assertThat(timeline.newestKnownFor(50, 149)).isZero();
        assertThat(timeline.newestKnownFor(50, 150)).isEqualTo(3);
        assertThat(timeline.newestKnownFor(50, 250)).isEqualTo(5);
    }

    @Test
    void timesOfAClockThatOverflowsAreCompared() {
        timeline.add(3, Long.MAX_VALUE - 10);

        assertThat(timeline.newestKnownFor(50, Long.MIN_VALUE + 30)).isZero();
        assertThat(timeline.newestKnownFor(50, Long.MIN_VALUE + 40)).isEqualTo(3);
    }

    /** Invariant never late: after hundreds of versions no time is later than the true one. */
    @Test
    void forgettingVersionsNeverMovesATimeToALaterMoment() {
        for (int version = 1; version <= 500; version++) {
            timeline.add(version, version * 10L);
        }
        for (int version = 0; version < 500; version++) {
            assertThat(timeline.supersededAtNanos(version).orElseThrow()).isLessThanOrEqualTo((version + 1) * 10L);
        }
        assertThat(timeline.supersededAtNanos(0)).hasValue(10);
        assertThat(timeline.supersededAtNanos(499)).hasValue(5000);
    }
}
