package burlarch.router.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class IdleLifetimesTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final String ADDRESS = "10.0.0.1:80";

    private final IdleLifetimes lifetimes = new IdleLifetimes();

    @Test
    void aConnectionMayBeIdleForAnyTimeWhileNoneWasClosed() {
        assertThat(lifetimes.limitNanos(ADDRESS, 0)).isGreaterThanOrEqualTo(3_600 * SECOND);
    }

    @Test
    void connectionsAreUsedForAFractionOfTheShortestLifeThatWasSeen() {
        lifetimes.onClosedByPeer(ADDRESS, 300 * MILLI, 0);
        lifetimes.onClosedByPeer(ADDRESS, 200 * MILLI, 0);
        lifetimes.onClosedByPeer(ADDRESS, 250 * MILLI, 0);

        assertThat(lifetimes.limitNanos(ADDRESS, 0)).isEqualTo(100 * MILLI);
        assertThat(lifetimes.limitNanos("10.0.0.2:80", 0)).isGreaterThan(SECOND);
    }

    @Test
    void theLimitRisesWhileNothingIsClosedEarly() {
        lifetimes.onClosedByPeer(ADDRESS, 200 * MILLI, 0);

        assertThat(lifetimes.limitNanos(ADDRESS, 19 * SECOND)).isEqualTo(100 * MILLI);
        assertThat(lifetimes.limitNanos(ADDRESS, 20 * SECOND)).isEqualTo(200 * MILLI);
        assertThat(lifetimes.limitNanos(ADDRESS, 60 * SECOND)).isEqualTo(800 * MILLI);
        assertThat(lifetimes.limitNanos(ADDRESS, 3_000 * SECOND)).isGreaterThanOrEqualTo(3_600 * SECOND);
    }

    @Test
    void theNumberOfAddressesIsBounded() {
        for (int i = 0; i < 2_000; i++) {
            lifetimes.onClosedByPeer("10.0.0.1:" + i, MILLI, 0);
        }
        assertThat(lifetimes.limitNanos("10.0.0.1:0", 0)).isGreaterThan(SECOND);
        assertThat(lifetimes.limitNanos("10.0.0.1:1999", 0)).isEqualTo(MILLI / 2);
    }
}
