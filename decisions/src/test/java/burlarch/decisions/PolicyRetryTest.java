package burlarch.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.decisions.Api.Ended;
import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Server;
import burlarch.decisions.Api.Stage;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which attempts are repeated, when and how often, by outcome, request class and retry budget. */
class PolicyRetryTest extends PolicyFixture {
    /** If proxies that the origin refuses at once retried together, they would be refused together again. */
    @Test
    void proxiesRefusedTogetherRetryAtDifferentTimes() {
        Set<Long> delaysMs = new HashSet<>();
        for (int seed = 0; seed < 14; seed++) {
            policy = new Policy(settings(), seed, actions);
            policy.onList(nowNanos, ListKind.RESTORED, List.of(origin()));
            long writeRequest = submit(TOKEN_ALL, 7, true);
            policy.onEnded(nowNanos, new Ended(writeRequest, 0, ORIGIN, Outcome.FULL, false, MS));
            delaysMs.add(actions.lastTimerNanos / MS);
        }
        assertTrue(delaysMs.size() >= 10, "expected different delays in ms, got " + delaysMs);
    }

    @Test
    void writesAreRepeatedAndRefusedByOutcomeAndClass() {
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.GOOD) {
                continue;
            }
            for (int requestClass : new int[] {SIDE_EFFECT, TOKEN_ALL, TOKEN_ZONE}) {
                createPolicyWithFourCaches();
                long id = submit(requestClass, 7, true);
                endAttempt(id, 0, ORIGIN, outcome, 10);
                if (outcome == Outcome.FULL || outcome == Outcome.CROWDED) {
                    nowNanos += actions.lastTimerNanos;
                    fireTimers();
                }
                boolean repeated = actions.countStartingWith("send " + id + " ") == 2;
                assertEquals(
                        requestClass != SIDE_EFFECT || outcome.neverRan(),
                        repeated,
                        outcome + " of class " + requestClass);
                if (repeated) {
                    endAttempt(id, 1, ORIGIN, Outcome.RST, 500);
                }
                boolean mayRefuse = requestClass == TOKEN_ALL;
                assertEquals(
                        mayRefuse ? 1 : 0,
                        actions.countStartingWith("refuse " + id),
                        outcome + " of class " + requestClass);
                assertEquals(
                        mayRefuse ? 0 : 1,
                        actions.countStartingWith("fail " + id),
                        outcome + " of class " + requestClass);
            }
        }
    }

    @Test
    void tokenRequestIsNotRepeatedAfterItsDeduplicationTime() {
        long id = submit(TOKEN_ALL, 9, true);
        endAttempt(id, 0, ORIGIN, Outcome.RST, 410);
        assertEquals(1, actions.countStartingWith("send " + id + " "));
        assertEquals(1, actions.countStartingWith("refuse " + id));
    }

    /** A repeat may wait for a connection for up to 250 ms before it is sent. */
    @Test
    void tokenRequestIsNotRepeatedIfConnectingMayExceedItsDeduplicationTime() {
        long earlyFailure = submit(TOKEN_ALL, 9, true);
        endAttempt(earlyFailure, 0, ORIGIN, Outcome.RST, 140);
        assertEquals(2, actions.countStartingWith("send " + earlyFailure + " "));
        long lateFailure = submit(TOKEN_ALL, 10, true);
        endAttempt(lateFailure, 0, ORIGIN, Outcome.RST, 150);
        assertEquals(1, actions.countStartingWith("send " + lateFailure + " "));
        assertEquals(1, actions.countStartingWith("refuse " + lateFailure));
    }

    @Test
    void startedStreamGetsNoFurtherAction() {
        long id = read(7);
        policy.onResponseStarted(nowNanos, id);
        actions.takeActions();
        nowNanos += 900 * MS;
        fireTimers();
        assertEquals(List.of(), actions.takeActions());
    }

    @Test
    void unknownZoneIsNotTreatedAsTheSameZone() {
        policy.onList(nowNanos, ListKind.UPDATE, List.of(new Server(ORIGIN, 0, 1, 0, Stage.IN, 1, Api.UNKNOWN)));
        long id = submit(TOKEN_ZONE, 7, true);
        endAttempt(id, 0, ORIGIN, Outcome.RST, 10);
        assertEquals(1, actions.countStartingWith("send " + id + " "));
        assertEquals(1, actions.countStartingWith("fail " + id));
    }

    @Test
    void retriesStayWithinTheRetryBudget() {
        int sendCount = 0;
        for (int i = 0; i < 500; i++) {
            long id = read(i);
            for (int attempt = 0; actions.countStartingWith("send " + id + " ") > attempt; attempt++) {
                endAttempt(id, attempt, actions.lastServer, Outcome.FULL, 1);
            }
            sendCount += actions.countStartingWith("send " + id + " ");
            assertEquals(1, actions.countStartingWith("refuse " + id));
            actions.takeActions();
        }
        assertTrue(
                sendCount < 500 * 1.2 + 25, "expected 20 saved retries and one for each 5 requests, sent " + sendCount);
    }

    /** The retry budget limits retries in an overload, and a broken connection is no sign of overload. */
    @Test
    void brokenConnectionsDoNotUseTheRetryBudget() {
        for (int i = 0; i < 500; i++) {
            long id = read(i % 20);
            endAttempt(id, 0, actions.lastServer, i % 2 == 0 ? Outcome.RST : Outcome.NOCONN, 1);
            assertEquals(2, actions.countStartingWith("send " + id + " "), "request " + i);
            endAttempt(id, 1, actions.lastServer, Outcome.GOOD, 1);
            assertEquals(0, actions.countStartingWith("refuse " + id), "request " + i);
            actions.takeActions();
        }
    }
}
