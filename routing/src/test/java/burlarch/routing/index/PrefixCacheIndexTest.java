package burlarch.routing.index;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.CacheSalt;
import burlarch.routing.KvEvents;
import burlarch.routing.KvEvents.KvEvent;
import burlarch.routing.RouteRequest.PromptSegment;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PrefixCacheIndexTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String SALT = "m|1";
    private static final List<PromptSegment> SEGMENTS =
            List.of(new PromptSegment(1, 800), new PromptSegment(2, 400), new PromptSegment(3, 250));
    private final PrefixCacheIndex index = new PrefixCacheIndex();

    @BeforeEach
    void addEngine() {
        index.addSource("e", 80_000);
    }

    private static KvEvent cachedEvent(long segment, int tokens) {
        return new KvEvent(true, SALT, segment, tokens, "m");
    }

    private static KvEvent evictedEvent(long segment, int tokens) {
        return new KvEvent(false, SALT, segment, tokens, "m");
    }

    private void report(long epoch, boolean lost, KvEvent... events) {
        index.onEvents(new KvEvents("e", epoch, lost, List.of(events)), 0);
    }

    private int confirmedTokens(long nowNanos) {
        return index.confirmedPrefixTokens("e", CacheSalt.hash(SALT), SEGMENTS, nowNanos);
    }

    private int cachedTokens(long nowNanos) {
        return index.cachedPrefixTokens("e", SALT, SEGMENTS, nowNanos);
    }

    @Test
    void countsThePrefixUpToTheFirstIncompleteSegment() {
        report(1, false, cachedEvent(1, 800), cachedEvent(3, 250));
        assertThat(cachedTokens(0)).isEqualTo(800);
        report(1, false, cachedEvent(2, 200));
        assertThat(cachedTokens(0)).isEqualTo(1_000);
        report(1, false, cachedEvent(2, 400));
        assertThat(cachedTokens(0)).isEqualTo(1_450);
        report(1, false, evictedEvent(1, 128));
        assertThat(cachedTokens(0)).isEqualTo(128);
        report(1, false, evictedEvent(1, 0));
        assertThat(cachedTokens(0)).isZero();
    }

    @Test
    void aMissingTailShorterThanABlockIsIgnored() {
        report(1, false, cachedEvent(1, 800), cachedEvent(2, 390), cachedEvent(3, 240));
        assertThat(cachedTokens(0)).isEqualTo(1_430);
    }

    private long prefilledTokens(String source, KvEvent... events) {
        return index.onEvents(new KvEvents(source, 1, false, List.of(events)), 0);
    }

    @Test
    void tokensCountAsPrefilledOnceAndNotAgainWhereTheyWereFetched() {
        index.addSource("other", 80_000);
        assertThat(prefilledTokens("e", cachedEvent(1, 500))).isEqualTo(500);
        assertThat(prefilledTokens("e", cachedEvent(1, 800))).isEqualTo(300);
        assertThat(prefilledTokens("e", cachedEvent(1, 800))).isZero();
        assertThat(prefilledTokens("other", cachedEvent(1, 800), cachedEvent(2, 400)))
                .isEqualTo(400);
    }

    @Test
    void tokensThatEverySourceHasEvictedCountAsPrefilledAgain() {
        index.addSource("other", 80_000);
        prefilledTokens("e", cachedEvent(1, 800));
        prefilledTokens("e", evictedEvent(1, 0));
        assertThat(prefilledTokens("other", cachedEvent(1, 800))).isEqualTo(800);
    }

    @Test
    void tokensThatARequestHasConfirmedElsewhereDoNotCountAsPrefilled() {
        index.addSource("other", 80_000);
        index.expectCached("e", SALT, SEGMENTS, 0);
        index.confirm("e", SALT, SEGMENTS, 0);
        assertThat(prefilledTokens("other", cachedEvent(1, 800))).isZero();
    }

    @Test
    void eventsOfSeveralSaltsInOneBatchAreKeptSeparate() {
        KvEvent otherSalt = new KvEvent(true, "m|2", 2, 400, "m");
        report(1, false, cachedEvent(1, 800), otherSalt, cachedEvent(3, 250));
        assertThat(cachedTokens(0)).isEqualTo(800);
        assertThat(index.cachedPrefixTokens("e", "m|2", SEGMENTS.subList(1, 2), 0))
                .isEqualTo(400);
    }

    @Test
    void lookupsUnderAnotherSaltFindNothing() {
        report(1, false, cachedEvent(1, 800));
        assertThat(index.cachedPrefixTokens("e", "m|2", SEGMENTS, 0)).isZero();
        assertThat(index.cachedPrefixTokens("e", "m|1|walled", SEGMENTS, 0)).isZero();
    }

    @Test
    void aNewEpochInvalidatesTheSource() {
        report(1, false, cachedEvent(1, 800));
        report(2, false, cachedEvent(2, 400));
        assertThat(cachedTokens(0)).isZero();
        assertThat(index.size("e")).isEqualTo(1);
    }

    @Test
    void lostEventsMakeTheSourceUncertainUntilTheNextList() {
        report(1, false, cachedEvent(1, 800));
        report(1, true, cachedEvent(2, 400));
        assertThat(index.isUncertain("e")).isTrue();
        assertThat(cachedTokens(0)).isEqualTo(1_200);
        index.onFullList(new KvEvents("e", 1, false, List.of(cachedEvent(1, 800))), 0);
        assertThat(index.isUncertain("e")).isFalse();
        assertThat(cachedTokens(0)).isEqualTo(800);
    }

    @Test
    void expectedEntriesCountAtOnceAndExpireUnlessConfirmed() {
        index.expectCached("e", SALT, SEGMENTS, 0);
        assertThat(cachedTokens(SECOND)).isEqualTo(1_450);
        assertThat(confirmedTokens(SECOND)).isZero();
        assertThat(cachedTokens(10 * SECOND)).isZero();
        index.expectCached("e", SALT, SEGMENTS, 10 * SECOND);
        index.confirm("e", SALT, SEGMENTS, 11 * SECOND);
        assertThat(cachedTokens(100 * SECOND)).isEqualTo(1_450);
        assertThat(confirmedTokens(100 * SECOND)).isEqualTo(1_450);
    }

    @Test
    void withdrawalRemovesOnlyExpectedEntries() {
        report(1, false, cachedEvent(1, 800));
        index.expectCached("e", SALT, SEGMENTS, 0);
        index.withdrawExpected("e", SALT, SEGMENTS);
        assertThat(cachedTokens(0)).isEqualTo(800);
    }

    @Test
    void newWeightsRemoveTheOldVersionOfAllTenants() {
        report(
                1,
                false,
                cachedEvent(1, 800),
                new KvEvent(true, "m|1|walled", 1, 800, "m"),
                new KvEvent(true, "m|2", 1, 800, "m"));
        index.forgetVersion("e", "m|1");
        assertThat(cachedTokens(0)).isZero();
        assertThat(index.cachedPrefixTokens("e", "m|1|walled", SEGMENTS, 0)).isZero();
        assertThat(index.cachedPrefixTokens("e", "m|2", SEGMENTS, 0)).isEqualTo(800);
    }

    @Test
    void unknownSourcesTakeNoMemory() {
        index.onEvents(new KvEvents("stranger", 1, false, List.of(cachedEvent(1, 800))), 0);
        assertThat(index.size("stranger")).isZero();
    }
}
