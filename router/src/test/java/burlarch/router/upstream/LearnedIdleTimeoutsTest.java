package burlarch.router.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Idle time limits learned from connections that instances closed early. */
class LearnedIdleTimeoutsTest {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;
    private static final String ADDRESS = "10.0.0.1:80";

    private final LearnedIdleTimeouts idleTimeouts = new LearnedIdleTimeouts();

    @Test
    void idleTimeIsUnlimitedBeforeAnEarlyClose() {
        assertThat(idleTimeouts.limitNanos(ADDRESS, 0)).isGreaterThanOrEqualTo(3_600 * SECOND_NANOS);
    }

    @Test
    void limitIsAFractionOfTheShortestObservedIdleTime() {
        idleTimeouts.onClosedByPeer(ADDRESS, 300 * MILLI_NANOS, 0);
        idleTimeouts.onClosedByPeer(ADDRESS, 200 * MILLI_NANOS, 0);
        idleTimeouts.onClosedByPeer(ADDRESS, 250 * MILLI_NANOS, 0);

        assertThat(idleTimeouts.limitNanos(ADDRESS, 0)).isEqualTo(100 * MILLI_NANOS);
        assertThat(idleTimeouts.limitNanos("10.0.0.2:80", 0)).isGreaterThan(SECOND_NANOS);
    }

    @Test
    void limitDoublesWithoutFurtherEarlyCloses() {
        idleTimeouts.onClosedByPeer(ADDRESS, 200 * MILLI_NANOS, 0);

        assertThat(idleTimeouts.limitNanos(ADDRESS, 19 * SECOND_NANOS)).isEqualTo(100 * MILLI_NANOS);
        assertThat(idleTimeouts.limitNanos(ADDRESS, 20 * SECOND_NANOS)).isEqualTo(200 * MILLI_NANOS);
        assertThat(idleTimeouts.limitNanos(ADDRESS, 60 * SECOND_NANOS)).isEqualTo(800 * MILLI_NANOS);
        assertThat(idleTimeouts.limitNanos(ADDRESS, 3_000 * SECOND_NANOS)).isGreaterThanOrEqualTo(3_600 * SECOND_NANOS);
    }

    @Test
    void numberOfAddressesIsBounded() {
        for (int i = 0; i < 2_000; i++) {
            idleTimeouts.onClosedByPeer("10.0.0.1:" + i, MILLI_NANOS, 0);
        }
        assertThat(idleTimeouts.limitNanos("10.0.0.1:0", 0)).isGreaterThan(SECOND_NANOS);
        assertThat(idleTimeouts.limitNanos("10.0.0.1:1999", 0)).isEqualTo(MILLI_NANOS / 2);
    }
}
