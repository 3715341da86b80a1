package burlarch.coordination.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AcknowledgementTrackerTest {
    private static final long DEADLINE_NANOS = 300;

    private final AcknowledgementTracker<String> tracker = new AcknowledgementTracker<>();

    @Test
    void waitEndsWhenEverySubscriberHasAcknowledgedTheRevision() {
        tracker.subscribe("a");
        tracker.subscribe("b");
        AcknowledgementTracker.Wait wait = tracker.await(7, DEADLINE_NANOS).orElseThrow();
        tracker.onAcknowledged("a", 7);
        assertThat(tracker.takeFinishedWaits(1)).isEmpty();
        assertThat(tracker.laggingBehind(7)).containsExactly("b");
        tracker.onAcknowledged("b", 9);
        assertThat(tracker.takeFinishedWaits(2)).containsExactly(wait);
        assertThat(tracker.takeFinishedWaits(3)).isEmpty();
    }

    @Test
    void waitEndsAtItsDeadlineWithoutAcknowledgement() {
        tracker.subscribe("a");
        AcknowledgementTracker.Wait wait = tracker.await(7, DEADLINE_NANOS).orElseThrow();
        assertThat(tracker.takeFinishedWaits(DEADLINE_NANOS - 1)).isEmpty();
        assertThat(tracker.takeFinishedWaits(DEADLINE_NANOS)).containsExactly(wait);
    }

    @Test
    void waitEndsWhenTheLaggingSubscriberLeaves() {
        tracker.subscribe("a");
        AcknowledgementTracker.Wait wait = tracker.await(7, DEADLINE_NANOS).orElseThrow();
        tracker.unsubscribe("a");
        assertThat(tracker.takeFinishedWaits(1)).containsExactly(wait);
    }

    @Test
    void noWaitBeginsWithoutSubscribers() {
        assertThat(tracker.await(7, DEADLINE_NANOS)).isEmpty();
    }

    @Test
    void acknowledgementOfAnUnknownSubscriberOrAnOlderRevisionIsIgnored() {
        tracker.onAcknowledged("stranger", 9);
        assertThat(tracker.size()).isZero();
        tracker.subscribe("a");
        tracker.onAcknowledged("a", 9);
        tracker.onAcknowledged("a", 3);
        assertThat(tracker.allAcknowledged(9)).isTrue();
    }

    @Test
    void noWaitBeginsBeyondTheBound() {
        tracker.subscribe("a");
        for (int i = 0; i < AcknowledgementTracker.MAX_WAITS; i++) {
            assertThat(tracker.await(7, DEADLINE_NANOS)).isPresent();
        }
        assertThat(tracker.await(7, DEADLINE_NANOS)).isEmpty();
    }

    @Test
    void acknowledgedByReturnsTheAcknowledgedRevision() {
        AcknowledgementTracker<String> tracker = new AcknowledgementTracker<>();
        tracker.subscribe("a");
        assertThat(tracker.acknowledgedBy("a")).isEmpty();
        assertThat(tracker.acknowledgedBy("stranger")).isEmpty();
        tracker.onAcknowledged("a", 0);
        assertThat(tracker.acknowledgedBy("a")).hasValue(0);
    }
}
