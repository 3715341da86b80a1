package burlarch.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Request;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which outcomes of attempts make a cache count as failed or overloaded. */
class PolicyCacheHealthTest extends PolicyFixture {
    @Test
    void silentCacheIsEjectedAndItsReadGetsASecondCopy() {
        long silentCache = 0;
        List<Long> unanswered = new ArrayList<>();
        for (long key = 0; unanswered.size() < 4; key++) {
            long id = read(key);
            silentCache = silentCache == 0 ? actions.lastServer : silentCache;
            if (actions.lastServer == silentCache) {
                unanswered.add(id);
            } else {
                endAttempt(id, 0, actions.lastServer, Outcome.GOOD, 1);
            }
        }
        nowNanos += 400 * MS;
        fireTimers();
        assertEquals(2, actions.countStartingWith("send " + unanswered.get(0) + " "));
        actions.takeActions();
        for (long key = 0; key < 50; key++) {
            endAttempt(read(key), 0, actions.lastServer, Outcome.GOOD, 1);
            assertNotEquals(silentCache, actions.lastServer);
        }
    }

    /** Under load, returns whether a key is still read from its cache after that broke three reads in a row. */
    private boolean keyKeepsItsCacheAfterThreeBreaks(int requestsPerBreak) {
        for (long key = 0; key < 600; key++) {
            long id = read(key);
            int attempt = 0;
            if (key % requestsPerBreak == 0) {
                endAttempt(id, attempt++, actions.lastServer, Outcome.RST, 1);
            }
            endAttempt(id, attempt, actions.lastServer, Outcome.GOOD, 1);
        }
        nowNanos += 1000 * MS;
        long id = read(7);
        long firstCache = actions.lastServer;
        endAttempt(id, 0, firstCache, Outcome.GOOD, 1);
        for (int i = 0; i < 3; i++) {
            id = read(7);
            assertEquals(firstCache, actions.lastServer, "after " + i + " broken connections");
            endAttempt(id, 0, firstCache, Outcome.RST, 1);
            endAttempt(id, 1, actions.lastServer, Outcome.GOOD, 1);
        }
        read(7);
        return actions.lastServer == firstCache;
    }

    @Test
    void brokenConnectionsAtOneCacheEjectIt() {
        assertFalse(keyKeepsItsCacheAfterThreeBreaks(1000));
    }

    @Test
    void brokenConnectionsAtAllCachesEjectNone() {
        assertTrue(keyKeepsItsCacheAfterThreeBreaks(3));
    }

    @Test
    void generalOverloadEjectsFewCachesForLateAnswers() {
        for (long key = 0; key < 60; key++) {
            endAttempt(read(key), 0, actions.lastServer, Outcome.LATE, 1);
        }
        Set<Long> usedServers = new HashSet<>();
        for (long key = 0; key < 400; key++) {
            nowNanos += 2000 * MS;
            read(key);
            policy.onClientGone(nowNanos, nextId - 1);
            usedServers.add(actions.lastServer);
        }
        usedServers.remove(ORIGIN);
        assertTrue(usedServers.size() >= 2, "expected several caches in use when all are late, used " + usedServers);
    }

    @Test
    void cachesAreStillTriedWhenMostOfThemFail() {
        for (long key = 0; key < 40; key++) {
            long id = read(key);
            endAttempt(id, 0, actions.lastServer, Outcome.NOCONN, 5);
        }
        actions.takeActions();
        read(77);
        assertTrue(actions.lastServer <= 4, "expected a cache to be tried");
    }

    @Test
    void strainedCacheLosesPartOfItsKeys() {
        Set<Long> keys = new HashSet<>();
        for (long key = 0; key < 100; key++) {
            endAttempt(read(key), 0, actions.lastServer, Outcome.GOOD, 5);
            if (actions.lastServer == 1) {
                keys.add(key);
            }
        }
        for (int i = 0; i < 20; i++) {
            for (long key : keys) {
                long id = read(key);
                endAttempt(id, 0, actions.lastServer, Outcome.GOOD, actions.lastServer == 1 ? 700 : 5);
            }
        }
        long keptKeys = keys.stream()
                .filter(key -> {
                    endAttempt(read(key), 0, actions.lastServer, Outcome.GOOD, 5);
                    return actions.lastServer == 1;
                })
                .count();
        assertTrue(keptKeys < keys.size(), "expected a cache slower than listed to lose keys, kept " + keptKeys);
    }

    /** A client that waits for less than the silence timeout may give up on a healthy cache. */
    @Test
    void timeOutsOfClientsWithShortTimeoutsDoNotCountAgainstCaches() {
        Map<Long, Long> firstCaches = new HashMap<>();
        for (long key = 0; key < 40; key++) {
            endAttempt(read(key), 0, actions.lastServer, Outcome.GOOD, 5);
            firstCaches.put(key, actions.lastServer);
        }
        for (long i = 0; i < 400; i++) {
            long shortRequest = nextId++;
            policy.onRequest(
                    nowNanos, new Request(shortRequest, PURE_READ, 0, true, i % 40, nowNanos + 60 * MS, 0, false));
            endAttempt(shortRequest, 0, actions.lastServer, Outcome.LATE, 55);
            long longRequest = read(i % 40);
            assertEquals(1, actions.countStartingWith("send " + longRequest + " "), "read " + i + " must be sent once");
            assertEquals(firstCaches.get(i % 40), actions.lastServer, "read " + i + " must go to the cache of its key");
            endAttempt(longRequest, 0, actions.lastServer, Outcome.GOOD, 5);
            actions.takeActions();
        }
    }
}
