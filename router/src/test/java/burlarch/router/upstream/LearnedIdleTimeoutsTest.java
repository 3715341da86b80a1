package burlarch.router.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LearnedIdleTimeoutsTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final String ADDRESS = "10.0.0.1:80";

    private final LearnedIdleTimeouts idleTimeouts = new LearnedIdleTimeouts();

    @Test
    void aConnectionMayBeIdleForAnyTimeWhileNoneWasClosed() {
        assertThat(idleTimeouts.limitNanos(ADDRESS, 0)).isGreaterThanOrEqualTo(3_600 * SECOND);
    }

    @Test
    void connectionsAreUsedForAFractionOfTheShortestLifeThatWasSeen() {
        idleTimeouts.onClosedByPeer(ADDRESS, 300 * MILLI, 0);
        idleTimeouts.onClosedByPeer(ADDRESS, 200 * MILLI, 0);
        idleTimeouts.onClosedByPeer(ADDRESS, 250 * MILLI, 0);

        assertThat(idleTimeouts.limitNanos(ADDRESS, 0)).isEqualTo(100 * MILLI);
        assertThat(idleTimeouts.limitNanos("10.0.0.2:80", 0)).isGreaterThan(SECOND);
    }

    @Test
    void theLimitRisesWhileNothingIsClosedEarly() {
        idleTimeouts.onClosedByPeer(ADDRESS, 200 * MILLI, 0);

        assertThat(idleTimeouts.limitNanos(ADDRESS, 19 * SECOND)).isEqualTo(100 * MILLI);
        assertThat(idleTimeouts.limitNanos(ADDRESS, 20 * SECOND)).isEqualTo(200 * MILLI);
        assertThat(idleTimeouts.limitNanos(ADDRESS, 60 * SECOND)).isEqualTo(800 * MILLI);
        assertThat(idleTimeouts.limitNanos(ADDRESS, 3_000 * SECOND)).isGreaterThanOrEqualTo(3_600 * SECOND);
    }

    @Test
    void theNumberOfAddressesIsBounded() {
        for (int i = 0; i < 2_000; i++) {
            idleTimeouts.onClosedByPeer("10.0.0.1:" + i, MILLI, 0);
        }
        assertThat(idleTimeouts.limitNanos("10.0.0.1:0", 0)).isGreaterThan(SECOND);
        assertThat(idleTimeouts.limitNanos("10.0.0.1:1999", 0)).isEqualTo(MILLI / 2);
    }
}
