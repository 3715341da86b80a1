package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Guards against request ids of any length that a router keeps after their requests have failed. */
class AttemptHistoryTest {
    private static final int LONG_ID_CHARACTERS = 16_000;
    private static final int MAX_RETAINED_CHARACTERS = 64 * 1024;

    private final AttemptHistory history = new AttemptHistory();

    @Test
    void longIdsAreBoundedInTotal() {
        for (int i = 0; i < 1000; i++) {
            history.onEnded("x".repeat(LONG_ID_CHARACTERS) + i, "instance", AttemptOutcome.NOT_CONNECTED);
            assertThat(history.idCharacters()).isLessThanOrEqualTo(MAX_RETAINED_CHARACTERS);
        }
        assertThat(history.of("x".repeat(LONG_ID_CHARACTERS) + 999)).isNotSameAs(AttemptHistory.NONE);
    }

    @Test
    void ordinaryIdsAreRetainedUntilTheyAreMany() {
        for (int i = 0; i < 1024; i++) {
            history.onEnded("request-" + i, "instance", AttemptOutcome.NOT_CONNECTED);
        }
        assertThat(history.of("request-0").contains("instance")).isTrue();
        history.onEnded("request-1024", "instance", AttemptOutcome.NOT_CONNECTED);
        assertThat(history.of("request-0")).isSameAs(AttemptHistory.NONE);
        assertThat(history.of("request-1").contains("instance")).isTrue();
    }

    @Test
    void requestThatSucceedsLeavesNothing() {
        history.onEnded("request", "instance", AttemptOutcome.NOT_CONNECTED);
        history.onEnded("request", "instance", AttemptOutcome.ANSWERED);
        assertThat(history.idCharacters()).isZero();
    }
}
