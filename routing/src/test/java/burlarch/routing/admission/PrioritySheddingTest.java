package burlarch.routing.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PrioritySheddingTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int MISS_TOKENS = 9_000;
    private static final int LESS_URGENT_TOKENS = 3_000;

    private final PriorityShedding shedding = new PriorityShedding();

    private void plan(int rank, int placed, int rejected, long nowNanos) {
        for (int i = 0; i < placed + rejected; i++) {
            shedding.onPlanned(rank, i < placed, nowNanos);
        }
    }

    private void planUrgentLessOften(long nowNanos) {
        plan(0, 2, 8, nowNanos);
        plan(2, 15, 5, nowNanos);
    }

    @Test
    void anUrgentCacheMissIsPlacedForTheTokensOfShedRequests() {
        planUrgentLessOften(0);
        assertThat(shedding.placesOnCredit(0, MISS_TOKENS, 0))
                .as("nothing was shed yet")
                .isFalse();

        for (int i = 0; i < MISS_TOKENS / LESS_URGENT_TOKENS; i++) {
            assertThat(shedding.shedsForUrgent(2, LESS_URGENT_TOKENS, 0)).isTrue();
        }

        assertThat(shedding.placesOnCredit(0, MISS_TOKENS, 0)).isTrue();
        assertThat(shedding.placesOnCredit(0, MISS_TOKENS, 0))
                .as("the credit is used up")
                .isFalse();
    }

    @Test
    void nothingIsShedWhenNoUrgentCacheMissIsRejected() {
        planUrgentLessOften(0);

        assertThat(shedding.shedsForUrgent(2, LESS_URGENT_TOKENS, 0)).isFalse();
    }

    @Test
    void nothingIsShedForARankThatIsPlacedAsOften() {
        plan(0, 15, 5, 0);
        plan(2, 15, 5, 0);
        shedding.placesOnCredit(0, MISS_TOKENS, 0);

        assertThat(shedding.shedsForUrgent(2, LESS_URGENT_TOKENS, 0)).isFalse();
    }

    @Test
    void manyShortRequestsAreNotShedForOneLongCacheMiss() {
        planUrgentLessOften(0);
        shedding.placesOnCredit(0, MISS_TOKENS, 0);

        assertThat(shedding.shedsForUrgent(2, 700, 0)).isFalse();
    }

    @Test
    void theMostUrgentRankIsNeverShed() {
        planUrgentLessOften(0);
        shedding.placesOnCredit(0, MISS_TOKENS, 0);

        assertThat(shedding.shedsForUrgent(0, LESS_URGENT_TOKENS, 0)).isFalse();
    }

    @Test
    void creditIsBounded() {
        planUrgentLessOften(0);
        shedding.placesOnCredit(0, MISS_TOKENS, 0);
        int shedRequests = 0;
        while (shedding.shedsForUrgent(2, LESS_URGENT_TOKENS, 0)) {
            shedRequests++;
        }

        assertThat(shedRequests).isEqualTo(9);
    }

    @Test
    void creditDecays() {
        planUrgentLessOften(0);
        shedding.placesOnCredit(0, MISS_TOKENS, 0);
        while (shedding.shedsForUrgent(2, LESS_URGENT_TOKENS, 0)) {
            // Sheds until the credit is full.
        }

        assertThat(shedding.placesOnCredit(0, MISS_TOKENS, 30 * SECOND)).isFalse();
    }
}
