package burlarch.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Stage;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How a read that misses is fetched from the origin, and which reads wait for that fetch. */
class PolicyFetchTest extends PolicyFixture {
    @Test
    void hitIsFinalAndMissIsFetched() {
        long hitRead = read(7);
        long server = actions.lastServer;
        endAttempt(hitRead, 0, server, Outcome.GOOD, 20);
        assertEquals(List.of("send " + hitRead + " " + server), actions.takeActions());
        long missedRead = read(7);
        assertEquals(server, actions.lastServer, "the same key must go to the same cache");
        endAttempt(missedRead, 0, server, Outcome.MISS, 5);
        assertEquals(ORIGIN, actions.lastServer);
    }

    /** A full origin has a free place after about one answer time; an immediate retry would be refused again. */
    @Test
    void fetchRefusedByOriginIsRetriedAfterADelay() {
        long id = read(7);
        endAttempt(id, 0, actions.lastServer, Outcome.MISS, 5);
        long waitingRead = read(7);
        actions.takeActions();
        endAttempt(id, 1, ORIGIN, Outcome.FULL, 1);
        assertEquals(List.of(), actions.takeActions(), "no immediate retry, and other reads of the key still wait");
        nowNanos += actions.lastTimerNanos - MS;
        fireTimers();
        assertEquals(List.of(), actions.takeActions(), "no retry before the delay is over");
        nowNanos += MS;
        fireTimers();
        assertEquals(List.of("send " + id + " " + ORIGIN), actions.takeActions());
        endAttempt(id, 2, ORIGIN, Outcome.GOOD, 50);
        assertEquals(1, actions.countStartingWith("send " + waitingRead), "the waiting read must be sent");
    }

    @Test
    void fetchRefusedByOriginIsNotRetriedWithoutTimeOrAttemptsLeft() {
        long lateRead = read(7);
        endAttempt(lateRead, 0, actions.lastServer, Outcome.MISS, 750);
        endAttempt(lateRead, 1, ORIGIN, Outcome.FULL, 1);
        assertTrue(actions.takeActions().contains("refuse " + lateRead));
        long retriedRead = read(8);
        endAttempt(retriedRead, 0, actions.lastServer, Outcome.MISS, 5);
        endAttempt(retriedRead, 1, ORIGIN, Outcome.FULL, 1);
        nowNanos += actions.lastTimerNanos;
        fireTimers();
        actions.takeActions();
        endAttempt(retriedRead, 2, ORIGIN, Outcome.FULL, 1);
        assertEquals(List.of("refuse " + retriedRead), actions.takeActions(), "the settings allow three attempts");
    }

    @Test
    void readsWaitForTheFetchOfTheirKey() {
        long fetchingRead = read(7);
        long server = actions.lastServer;
        endAttempt(fetchingRead, 0, server, Outcome.MISS, 5);
        actions.takeActions();
        long waitingRead = read(7);
        assertEquals(List.of(), actions.takeActions());
        endAttempt(fetchingRead, 1, ORIGIN, Outcome.GOOD, 100);
        assertEquals(List.of("send " + waitingRead + " " + server), actions.takeActions());
    }

    @Test
    void waitingReadIsRefusedBeforeItsDeadline() {
        long fetchingRead = read(7);
        endAttempt(fetchingRead, 0, actions.lastServer, Outcome.MISS, 5);
        long waitingRead = read(7);
        actions.takeActions();
        nowNanos += 850 * MS;
        fireTimers();
        assertTrue(actions.takeActions().contains("refuse " + waitingRead));
    }

    @Test
    void missWithoutOriginIsRefusedWithRetryTime() {
        policy.onList(nowNanos, ListKind.REPLACE, List.of(cache(1, Stage.IN, 0)));
        long id = read(7);
        endAttempt(id, 0, 1, Outcome.MISS, 5);
        assertEquals(1, actions.countStartingWith("refuse " + id));
        assertTrue(actions.lastRetryAfterNanos > 0 && actions.lastRetryAfterNanos <= 1000 * MS);
    }
}
