package burlarch.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Stage;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The requests that a cache gets while it warms up after its start. */
class PolicyColdCacheTest extends PolicyFixture {
    /** The cold budget holds one request here; without the reversal the cache would get no further one. */
    @Test
    void attemptThatWasNeverSentDoesNotUseColdBudget() {
        policy.onList(nowNanos, ListKind.REPLACE, List.of(origin(), cache(1, Stage.IN, nowNanos)));
        long unsentRequest = -1;
        for (int i = 0; i < 100 && unsentRequest < 0; i++) {
            long id = read(i);
            unsentRequest = actions.lastServer == 1 ? id : -1;
        }
        policy.onClientGone(nowNanos, unsentRequest);
        endAttempt(unsentRequest, 0, 1, Outcome.NOP, 0);
        actions.takeActions();
        boolean sentAgain = false;
        for (int i = 0; i < 100 && !sentAgain; i++) {
            read(1000 + i);
            sentAgain = actions.lastServer == 1;
        }
        assertTrue(sentAgain);
    }

    @Test
    void coldCacheGetsLessThanItsShare() {
        for (long key = 0; key < 400; key++) {
            endAttempt(read(key), 0, actions.lastServer, Outcome.GOOD, 5);
        }
        policy.onList(nowNanos, ListKind.UPDATE, List.of(cache(9, Stage.IN, nowNanos)));
        int coldCount = 0;
        for (long key = 0; key < 200; key++) {
            endAttempt(read(key), 0, actions.lastServer, Outcome.GOOD, 5);
            coldCount += actions.lastServer == 9 ? 1 : 0;
        }
        assertTrue(coldCount > 0 && coldCount < 40, "expected less than the fair share, 50 of 200, got " + coldCount);
    }

    @Test
    void burstDoesNotExceedColdBudget() {
        policy.onList(nowNanos, ListKind.UPDATE, List.of(cache(9, Stage.IN, nowNanos)));
        int coldCount = 0;
        for (int i = 0; i < 3000; i++) {
            read(i % 50);
            coldCount += actions.lastServer == 9 ? 1 : 0;
        }
        assertTrue(coldCount < 300, "expected no more than the cold budget, got " + coldCount);
    }
}
