package burlarch.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.decisions.Api.Ended;
import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Settings;
import burlarch.decisions.Api.Stage;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** How changes or the loss of the server list affect requests and the placement of keys. */
class PolicyMembershipTest extends PolicyFixture {
    /** A restart breaks the attempts at the old process; they are no evidence about the new one. */
    @Test
    void attemptsAtFormerIncarnationDoNotCountAgainstTheNewOne() {
        List<Long> earlierRequests = List.of(read(7), read(7), read(7));
        long server = actions.lastServer;
        nowNanos += 10 * MS;
        policy.onList(nowNanos, ListKind.UPDATE, List.of(cache(server, Stage.IN, MS)));
        for (long request : earlierRequests) {
            policy.onEnded(nowNanos, new Ended(request, 0, server, Outcome.RST, false, 10 * MS));
        }
        read(7);
        assertEquals(server, actions.lastServer, "the new incarnation must not be ejected");
    }

    @Test
    void removalOfACacheMovesOnlyItsKeys() {
        Map<Long, Long> earlierServers = new HashMap<>();
        for (long key = 0; key < 200; key++) {
            endAttempt(read(key), 0, actions.lastServer, Outcome.GOOD, 10);
            earlierServers.put(key, actions.lastServer);
        }
        policy.onList(nowNanos, ListKind.UPDATE, List.of(cache(2, Stage.OUT, 0)));
        for (long key = 0; key < 200; key++) {
            endAttempt(read(key), 0, actions.lastServer, Outcome.GOOD, 10);
            assertNotEquals(2, actions.lastServer);
            if (earlierServers.get(key) != 2) {
                assertEquals(earlierServers.get(key), actions.lastServer);
            }
        }
    }

    @Test
    void drainingCacheGetsNoNewRequests() {
        policy.onList(nowNanos, ListKind.UPDATE, List.of(cache(1, Stage.LAME, 0), cache(3, Stage.LAME, 0)));
        Set<Long> usedServers = new HashSet<>();
        for (long key = 0; key < 100; key++) {
            endAttempt(read(key), 0, actions.lastServer, Outcome.GOOD, 10);
            usedServers.add(actions.lastServer);
        }
        assertEquals(Set.of(2L, 4L), usedServers);
    }

    @Test
    void failedSubscriptionIsRetriedWithGrowingBackoff() {
        Settings base = settings();
        Settings withSubscription = new Settings(
                base.proxies(),
                true,
                base.originKind(),
                base.quantumNanos(),
                base.limits(),
                base.charges(),
                base.obligations(),
                base.classes(),
                base.tenants());
        actions.log.clear();
        Policy subscribing = new Policy(withSubscription, 1, actions);
        for (int i = 0; i < 6; i++) {
            assertEquals(List.of("timer -1"), actions.log, "expected one retry timer after each failure");
            long backoffNanos = actions.lastTimerNanos;
            assertTrue(
                    backoffNanos <= 12_000 * MS && (i < 5 || backoffNanos >= 4_000 * MS),
                    "backoff " + i + " in nanoseconds: " + backoffNanos);
            actions.log.clear();
            subscribing.onTimer(nowNanos, -1);
            assertEquals(List.of("watch"), actions.takeActions());
            subscribing.onList(nowNanos, ListKind.UNAVAILABLE, List.of());
        }
    }

    @Test
    void readsGoToTheOriginWithoutCaches() {
        policy.onList(nowNanos, ListKind.REPLACE, List.of(origin()));
        read(7);
        assertEquals(ORIGIN, actions.lastServer);
        policy.onList(nowNanos, ListKind.REPLACE, List.of());
        long id = read(8);
        assertEquals(1, actions.countStartingWith("refuse " + id));
    }
}
