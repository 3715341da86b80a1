package burlarch.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.decisions.Api.Outcome;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What counts towards the origin's throttle. */
class PolicyThrottleTest extends PolicyFixture {
    /** Proxies share the connection table of a server, so one that finds it full closes idle connections soon. */
    @Test
    void fullConnectionTableIsNoStrainAndShortensIdleTime() {
        List<Long> idleTimesMs = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            long id = submit(TOKEN_ALL, i, true);
            assertEquals(
                    List.of("send " + id + " " + ORIGIN), actions.takeActions(), "the learned capacity must not fall");
            endAttempt(id, 0, ORIGIN, Outcome.CROWDED, 1);
            policy.onClientGone(nowNanos, id);
            String trim = actions.takeActions().get(0);
            assertTrue(trim.startsWith("trim " + ORIGIN + " "), trim);
            idleTimesMs.add(Long.parseLong(trim.split(" ")[2]) / MS);
            nowNanos += 100 * MS;
        }
        assertEquals(
                Set.of(5L), new HashSet<>(idleTimesMs), "without a connection charge the idle time is one quantum");
        for (int i = 0; i < 2_000; i++) {
            long id = submit(TOKEN_ALL, i, true);
            endAttempt(id, 0, ORIGIN, Outcome.GOOD, 20);
        }
        List<String> trims = actions.takeActions().stream()
                .filter(action -> action.startsWith("trim"))
                .toList();
        assertEquals(
                "trim " + ORIGIN + " " + 60_000 * MS,
                trims.get(trims.size() - 1),
                "the idle time must recover with good answers");
    }

    /** The clients disconnect while their requests wait for a connection, so the origin gets none of them. */
    @Test
    void attemptThatWasNeverSentIsNotChargedToTheThrottle() {
        int admitted = 0;
        while (actions.countStartingWith("refuse") == 0) {
            admitted++;
            submit(SIDE_EFFECT, admitted, true);
        }
        createPolicyWithFourCaches();
        actions.takeActions();
        for (int i = 0; i < admitted + 20; i++) {
            long id = submit(SIDE_EFFECT, i, true);
            policy.onClientGone(nowNanos, id);
            endAttempt(id, 0, ORIGIN, Outcome.NOP, 0);
        }
        assertEquals(0, actions.countStartingWith("refuse"));
    }
}
