package burlarch.routing.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class UrgencyExchangeTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int FETCH_TOKENS = 9_000;
    private static final int OTHER_TOKENS = 3_000;

    private final UrgencyExchange exchange = new UrgencyExchange();

    private void plan(int rank, int placed, int rejected, long nowNanos) {
        for (int i = 0; i < placed + rejected; i++) {
            exchange.onPlanned(rank, i < placed, nowNanos);
        }
    }

    private void urgentIsBehind(long nowNanos) {
        plan(0, 2, 8, nowNanos);
        plan(2, 15, 5, nowNanos);
    }

    @Test
    void anUrgentFetchIsPlacedForTheTokensOfRequestsThatGaveWay() {
        urgentIsBehind(0);
        assertThat(exchange.placesUrgent(0, FETCH_TOKENS, 0))
                .as("nothing gave way yet")
                .isFalse();

        for (int i = 0; i < FETCH_TOKENS / OTHER_TOKENS; i++) {
            assertThat(exchange.yieldsToUrgent(2, OTHER_TOKENS, 0)).isTrue();
        }

        assertThat(exchange.placesUrgent(0, FETCH_TOKENS, 0)).isTrue();
        assertThat(exchange.placesUrgent(0, FETCH_TOKENS, 0))
                .as("the credit is used up")
                .isFalse();
    }

    @Test
    void nothingGivesWayWhereNoUrgentFetchIsRejected() {
        urgentIsBehind(0);

        assertThat(exchange.yieldsToUrgent(2, OTHER_TOKENS, 0)).isFalse();
    }

    @Test
    void nothingGivesWayToARankThatIsPlacedAsOften() {
        plan(0, 15, 5, 0);
        plan(2, 15, 5, 0);
        exchange.placesUrgent(0, FETCH_TOKENS, 0);

        assertThat(exchange.yieldsToUrgent(2, OTHER_TOKENS, 0)).isFalse();
    }

    @Test
    void manyShortRequestsDoNotGiveWayToOneLongFetch() {
        urgentIsBehind(0);
        exchange.placesUrgent(0, FETCH_TOKENS, 0);

        assertThat(exchange.yieldsToUrgent(2, 700, 0)).isFalse();
    }

    @Test
    void theMostUrgentRankNeverGivesWay() {
        urgentIsBehind(0);
        exchange.placesUrgent(0, FETCH_TOKENS, 0);

        assertThat(exchange.yieldsToUrgent(0, OTHER_TOKENS, 0)).isFalse();
    }

    @Test
    void creditIsBounded() {
        urgentIsBehind(0);
        exchange.placesUrgent(0, FETCH_TOKENS, 0);
        int gaveWay = 0;
        while (exchange.yieldsToUrgent(2, OTHER_TOKENS, 0)) {
            gaveWay++;
        }

        assertThat(gaveWay).isEqualTo(9);
    }

    @Test
    void creditDecays() {
        urgentIsBehind(0);
        exchange.placesUrgent(0, FETCH_TOKENS, 0);
        while (exchange.yieldsToUrgent(2, OTHER_TOKENS, 0)) {
            // Until the credit is full.
        }

        assertThat(exchange.placesUrgent(0, FETCH_TOKENS, 30 * SECOND)).isFalse();
    }
}
