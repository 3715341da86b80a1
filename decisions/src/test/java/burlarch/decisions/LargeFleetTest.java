package burlarch.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.decisions.Api.Charges;
import burlarch.decisions.Api.Ended;
import burlarch.decisions.Api.Limits;
import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Obligations;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Repeat;
import burlarch.decisions.Api.Request;
import burlarch.decisions.Api.RequestClass;
import burlarch.decisions.Api.Scope;
import burlarch.decisions.Api.Server;
import burlarch.decisions.Api.Settings;
import burlarch.decisions.Api.Stage;
import burlarch.decisions.Api.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Faults that only occur with hundreds of proxies, each of which sends few requests to many caches. */
class LargeFleetTest {
    private static final long MS = 1_000_000L;
    private static final int PROXIES = 400;
    private static final int CACHES = 50;
    private static final int FAST_KIND = 2;
    private static final long ORIGIN = 1000;

    private long nowNanos = 50_000 * MS;
    private long nextId = 1;

    private static Settings settings(Charges charges) {
        return new Settings(
                PROXIES,
                false,
                1,
                5 * MS,
                new Limits(4, true, true, true, 1000 * MS, 250 * MS, 60_000 * MS),
                charges,
                new Obligations(0.12, 20_000 * MS, 2.5, 2000 * MS, 10_000 * MS),
                List.of(new RequestClass("read", 800 * MS, 0, Repeat.PURE, Scope.ALL, 0, 1, 0)),
                List.of(new Tenant("a", 1, 2000)));
    }

    private Policy newPolicy(long seed, Charges charges, FakeActions actions) {
        List<Server> servers = new ArrayList<>(List.of(new Server(ORIGIN, 0, 1, 0, Stage.IN, 1, 0)));
        for (long id = 1; id <= CACHES; id++) {
            servers.add(new Server(id, 0, 1, 0, Stage.IN, id % 2 == 0 ? FAST_KIND : 0, 0));
        }
        Policy policy = new Policy(settings(charges), seed, actions);
        policy.onList(nowNanos, ListKind.RESTORED, servers);
        return policy;
    }

    private Policy newPolicy(FakeActions actions) {
        return newPolicy(7, new Charges(0, 0), actions);
    }

    private long read(Policy policy, long key) {
        policy.onRequest(nowNanos, new Request(nextId, 0, 0, true, key, nowNanos + 1000 * MS, 0, false));
        return nextId++;
    }

    private void endAttempt(Policy policy, long request, int attempt, long server, Outcome outcome, long elapsedMs) {
        nowNanos += elapsedMs * MS;
        boolean finished = outcome == Outcome.GOOD;
        policy.onEnded(nowNanos, new Ended(request, attempt, server, outcome, finished, elapsedMs * MS));
    }

    @Test
    void hotKeyOfAllProxiesDoesNotOverloadItsColdCache() {
        List<FakeActions> actions = new ArrayList<>();
        List<Policy> policies = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            actions.add(new FakeActions());
            policies.add(newPolicy(i, new Charges(0, 0), actions.get(i)));
        }
        long bestCache = 0;
        long key = -1;
        Server coldServer = new Server(77, nowNanos, 1, 0, Stage.IN, 0, 0);
        while (bestCache != coldServer.id()) {
            key++;
            FakeActions probeActions = new FakeActions();
            Policy policy = newPolicy(probeActions);
            policy.onList(nowNanos, ListKind.UPDATE, List.of(new Server(77, 0, 1, 0, Stage.IN, 0, 0)));
            read(policy, key);
            bestCache = probeActions.lastServer;
        }
        int sentToCold = 0;
        int warmCount = 0;
        for (int i = 0; i < PROXIES; i++) {
            for (long other = 0; other < 6; other++) {
                endAttempt(
                        policies.get(i),
                        read(policies.get(i), 1_000_000 + i * 10L + other),
                        0,
                        actions.get(i).lastServer,
                        Outcome.GOOD,
                        0);
                warmCount++;
            }
            policies.get(i).onList(nowNanos, ListKind.UPDATE, List.of(coldServer));
        }
        for (int i = 0; i < PROXIES; i++) {
            read(policies.get(i), key);
            sentToCold += actions.get(i).lastServer == coldServer.id() ? 1 : 0;
        }
        double warmPerCache = (double) warmCount / CACHES;
        assertTrue(
                sentToCold <= warmPerCache,
                "a warm cache got " + warmPerCache + " requests, the cold one " + sentToCold);
    }

    @Test
    void refusedConnectionShortensTheIdleTime() {
        FakeActions actions = new FakeActions();
        Policy policy = newPolicy(7, new Charges(0.03, 0.03), actions);
        endAttempt(policy, read(policy, 1), 0, actions.lastServer, Outcome.GOOD, 20);
        long keptServer = actions.lastServer;
        nowNanos += 1200 * MS;
        policy.onTimer(nowNanos, 0);
        assertEquals(0, actions.countStartingWith("close idle "), "an idle connection pays for 2.5 s");
        long refusedRequest = read(policy, 2);
        endAttempt(policy, refusedRequest, 0, actions.lastServer, Outcome.NOCONN, 1);
        nowNanos += 200 * MS;
        policy.onTimer(nowNanos, 0);
        assertEquals(1, actions.countStartingWith("close idle " + keptServer));
    }

    @Test
    void idleConnectionsWithoutChargeAreKept() {
        FakeActions actions = new FakeActions();
        Policy policy = newPolicy(actions);
        endAttempt(policy, read(policy, 1), 0, actions.lastServer, Outcome.GOOD, 20);
        nowNanos += 50_000 * MS;
        policy.onTimer(nowNanos, 0);
        assertEquals(0, actions.countStartingWith("close idle "));
    }

    /** Otherwise, a network that breaks new connections would cause closes of idle ones and so more new ones. */
    @Test
    void usedConnectionsAreKeptWhenManyNewOnesBreak() {
        FakeActions actions = new FakeActions();
        Policy policy = newPolicy(actions);
        endAttempt(policy, read(policy, 1), 0, actions.lastServer, Outcome.GOOD, 20);
        long keptServer = actions.lastServer;
        for (long key = 0; key < 200; key++) {
            long id = read(policy, key);
            if (actions.lastServer == keptServer) {
                endAttempt(policy, id, 0, keptServer, Outcome.GOOD, 0);
            } else {
                endAttempt(policy, id, 0, actions.lastServer, Outcome.NOCONN, 0);
            }
        }
        nowNanos += 500 * MS;
        policy.onTimer(nowNanos, 0);
        assertEquals(
                0, actions.countStartingWith("close idle " + keptServer), "the connection was used half a second ago");
    }

    @Test
    void slowConnectionSetUpIsNotCountedAsOverload() {
        FakeActions actions = new FakeActions();
        Policy policy = newPolicy(actions);
        Set<Long> connected = new HashSet<>();
        for (long key = 0; key < 600; key++) {
            long id = read(policy, key);
            assertEquals(1, actions.countStartingWith("send " + id + " "), "request " + key + " must be sent");
            long answerMs = connected.add(actions.lastServer) ? 400 : 40;
            endAttempt(policy, id, 0, actions.lastServer, Outcome.GOOD, answerMs);
            if (key % 100 == 99) {
                nowNanos += 61_000 * MS;
                connected.clear();
            }
        }
    }

    @Test
    void oneUnansweredAttemptEjectsACacheWithFewRequests() {
        FakeActions actions = new FakeActions();
        Policy policy = newPolicy(actions);
        long id = read(policy, 1);
        long silentCache = actions.lastServer;
        nowNanos += 400 * MS;
        policy.onTimer(nowNanos, id);
        read(policy, 1);
        assertNotEquals(silentCache, actions.lastServer);
    }

    @Test
    void missOfASecondCopyIsFetchedWhileTheFirstIsInFlight() {
        FakeActions actions = new FakeActions();
        Policy policy = newPolicy(actions);
        for (long key = 100; key < 120; key++) {
            endAttempt(policy, read(policy, key), 0, actions.lastServer, Outcome.GOOD, 5);
        }
        long id = read(policy, 1);
        nowNanos += 400 * MS;
        policy.onTimer(nowNanos, id);
        assertEquals(2, actions.countStartingWith("send " + id + " "), "expected a second copy");
        endAttempt(policy, id, 1, actions.lastServer, Outcome.MISS, 2);
        assertEquals(ORIGIN, actions.lastServer);
    }

    @Test
    void keysMoveToTheMachineKindThatIsFasterThanListed() {
        FakeActions actions = new FakeActions();
        Policy policy = newPolicy(actions);
        Map<Boolean, Integer> sentByFast = new HashMap<>();
        for (long key = 0; key < 1500; key++) {
            long id = read(policy, key);
            boolean fast = actions.lastServer % 2 == 0;
            endAttempt(policy, id, 0, actions.lastServer, Outcome.GOOD, fast ? 30 : 90);
            if (key >= 500) {
                sentByFast.merge(fast, 1, Integer::sum);
            }
        }
        assertTrue(
                sentByFast.get(true) > 2.2 * sentByFast.get(false),
                "expected most requests at the kind that is three times as fast, sent " + sentByFast);
    }

    @Test
    void learnedCapacityFallsBelowOnePerSecondWithManyProxies() {
        FakeActions actions = new FakeActions();
        Policy policy = newPolicy(actions);
        int fetches = 0;
        for (long key = 0; key < 2000; key++) {
            long id = read(policy, key);
            endAttempt(policy, id, 0, actions.lastServer, Outcome.MISS, 10);
            if (actions.lastServer == ORIGIN) {
                endAttempt(policy, id, 1, ORIGIN, Outcome.BAD, 10);
                fetches += key >= 1000 ? 1 : 0;
            }
            nowNanos += 200 * MS;
            actions.lastServer = 0;
        }
        assertTrue(fetches > 0 && fetches < 110, "fetches, of 5 misses per second over 210 s: " + fetches);
    }
}
