package burlarch.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Server;
import burlarch.decisions.Api.Settings;
import burlarch.decisions.Api.Stage;
import burlarch.decisions.VirtualFleet.Node;
import burlarch.decisions.VirtualFleet.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Behaviour that is harmless in one proxy and harmful when fourteen proxies do the same at the same time. */
class ManyProxiesTest {
    private static final long MS = VirtualFleet.MS;
    private static final long SECOND = 1_000 * MS;
    private static final int PROXIES = 14;
    private static final int CACHES = 60;

    private final VirtualFleet fleet = new VirtualFleet();
    private final Settings settings = VirtualFleet.settings(PROXIES, 3_000);
    private final Node origin = new Node(VirtualFleet.ORIGIN, 27, 27, 50 * MS);
    private long startNanos;

    @BeforeEach
    void createFleet() {
        fleet.add(origin);
        for (long id = 1; id <= CACHES; id++) {
            fleet.add(new Node(id, 60, 4, 25 * MS));
        }
        for (int i = 0; i < PROXIES; i++) {
            fleet.addProxy(settings);
        }
        startNanos = fleet.nowNanos;
    }

    private int requestCount() {
        return fleet.proxies.stream().mapToInt(proxy -> proxy.requestCount).sum();
    }

    private int servedCount() {
        return fleet.proxies.stream().mapToInt(proxy -> proxy.servedCount).sum();
    }

    /** Two idle connections of each proxy would fill the origin's connection table at a fraction of its load. */
    @Test
    void idleConnectionsOfOthersDoNotStarveTheBusiestProxy() {
        fleet.nodes.values().forEach(node -> node.holdsAllKeys = false);
        long untilNanos = startNanos + 10 * SECOND;
        fleet.startTraffic(fleet.proxies.get(0), 80, Integer.MAX_VALUE, untilNanos);
        for (Proxy proxy : fleet.proxies.subList(1, PROXIES)) {
            fleet.startTraffic(proxy, 12, Integer.MAX_VALUE, untilNanos);
        }
        fleet.runUntil(untilNanos + SECOND);
        Proxy busiest = fleet.proxies.get(0);
        assertTrue(
                busiest.servedCount > 0.9 * busiest.requestCount, busiest.servedCount + " of " + busiest.requestCount);
        assertTrue(servedCount() > 0.85 * requestCount(), servedCount() + " of " + requestCount());
        assertTrue(
                origin.crowdedCount < 0.4 * requestCount(),
                origin.crowdedCount + " refused by the origin, of " + requestCount());
    }

    /** An overloaded discovery fails all calls after a delay; the retries must not arrive as one burst. */
    @Test
    void callsToOverloadedDiscoveryAreSpreadAndBackOff() {
        fleet.discoveryDelayNanos = proxy -> 50 * MS;
        List<Long> callTimesNanos = new ArrayList<>();
        fleet.runUntil(startNanos + 20 * SECOND);
        fleet.proxies.forEach(proxy -> callTimesNanos.addAll(proxy.listCallTimesNanos));
        assertTrue(
                callTimesNanos.size() <= PROXIES * 8,
                "expected a backoff to seconds: " + callTimesNanos.size() + " calls in 20 s");
        List<Long> laterCallsNanos = callTimesNanos.stream()
                .filter(timeNanos -> timeNanos > startNanos + SECOND)
                .toList();
        assertTrue(
                VirtualFleet.maxCountWithin(laterCallsNanos, 100 * MS) <= 6,
                "calls in 100 ms: " + VirtualFleet.maxCountWithin(laterCallsNanos, 100 * MS));
        fleet.proxies.forEach(proxy -> assertTrue(
                proxy.listCallTimesNanos.stream().anyMatch(timeNanos -> timeNanos > startNanos + 8 * SECOND),
                "every proxy must keep trying"));
    }

    /** Each proxy detects a dead node by a few failed requests of its own and probes it at its own times. */
    @Test
    void deadNodeCausesFewConnectsAndIsUsedAgainAfterRecovery() {
        long untilNanos = startNanos + 30 * SECOND;
        fleet.proxies.forEach(proxy -> fleet.startTraffic(proxy, 60, 20_000, untilNanos));
        fleet.runUntil(startNanos + 4 * SECOND);
        Node dead = fleet.nodes.get(7L);
        dead.dead = true;
        fleet.runUntil(startNanos + 16 * SECOND);
        assertTrue(
                dead.refusedConnects > 0 && dead.refusedConnects <= PROXIES * 6,
                "connects in 12 s: " + dead.refusedConnects);
        dead.dead = false;
        dead.sendTimesNanos.clear();
        fleet.runUntil(untilNanos + SECOND);
        assertTrue(
                dead.sendTimesNanos.size() > 80,
                "expected about 200 attempts in 14 s, sent " + dead.sendTimesNanos.size());
        assertTrue(servedCount() > 0.99 * requestCount(), servedCount() + " of " + requestCount());
    }

    /** With six of ten caches replaced, the load of all proxies on a cold one must stay below its limit. */
    @Test
    void newNodesGetNoMoreThanTheirOverloadLimit() {
        long untilNanos = startNanos + 14 * SECOND;
        // With few keys, each cold cache that is the best one of a key is wanted as much as a warm one.
        fleet.proxies.forEach(proxy -> fleet.startTraffic(proxy, 60, 8, untilNanos));
        fleet.runUntil(startNanos + 4 * SECOND);
        List<Server> changes = new ArrayList<>();
        for (long id = 1; id <= 36; id++) {
            Node newNode = new Node(100 + id, 60, 4, 25 * MS);
            newNode.bootNanos = fleet.nowNanos;
            newNode.holdsAllKeys = false;
            fleet.add(newNode);
            changes.add(newNode.entry(Stage.IN));
            changes.add(fleet.nodes.get(id).entry(Stage.OUT));
        }
        fleet.deliverListToAll(ListKind.UPDATE, changes);
        fleet.runUntil(untilNanos);
        // A warm node processes four requests at once in 25 ms each. A cold one starts with a fraction of that.
        double warmPerSecond = 4 / 0.025;
        double windowSeconds = VirtualFleet.OVERLOAD_WINDOW_NANOS * 1e-9;
        double finalFraction = VirtualFleet.COLD_START_FRACTION + (1 - VirtualFleet.COLD_START_FRACTION) * 10 / 20;
        double warmLimit = VirtualFleet.OVERLOAD_MULTIPLE * warmPerSecond * windowSeconds;
        int sentTotal = 0;
        for (long id = 101; id <= 136; id++) {
            Node newNode = fleet.nodes.get(id);
            List<Long> firstWindow = newNode.sendTimesNanos.stream()
                    .filter(timeNanos -> timeNanos < newNode.bootNanos + VirtualFleet.OVERLOAD_WINDOW_NANOS)
                    .toList();
            assertTrue(
                    firstWindow.size() <= warmLimit * VirtualFleet.COLD_START_FRACTION,
                    id + " in its first window: " + firstWindow.size());
            assertTrue(
                    newNode.maxCountWithin(VirtualFleet.OVERLOAD_WINDOW_NANOS) <= warmLimit * finalFraction,
                    id + " in any window");
            sentTotal += newNode.sendTimesNanos.size();
        }
        assertTrue(sentTotal > 200, "expected the new nodes to be used, sent " + sentTotal);
    }

    /** Ten of fourteen proxies die: the other four get all requests, several times their share. */
    @Test
    void survivingProxiesServeTheLoadOfDeadOnes() {
        long untilNanos = startNanos + 12 * SECOND;
        fleet.proxies.forEach(proxy -> fleet.startTraffic(proxy, 60, 20_000, untilNanos));
        fleet.runUntil(startNanos + 4 * SECOND);
        List<Proxy> survivors = fleet.proxies.subList(0, 4);
        fleet.proxies.subList(4, PROXIES).forEach(proxy -> proxy.dead = true);
        survivors.forEach(proxy -> fleet.startTraffic(proxy, 150, 20_000, untilNanos));
        int requestsBefore = requestCount();
        int servedBefore = servedCount();
        fleet.runUntil(untilNanos + SECOND);
        assertTrue(
                servedCount() - servedBefore > 0.97 * (requestCount() - requestsBefore),
                servedCount() - servedBefore + " of " + (requestCount() - requestsBefore));
    }

    /** After a release, all proxies start without learned state and get full traffic at once. */
    @Test
    void proxiesStartedTogetherServeTheirFirstSecond() {
        fleet.proxies.forEach(proxy -> fleet.startTraffic(proxy, 60, 20_000, startNanos + SECOND));
        fleet.runUntil(startNanos + 2 * SECOND);
        assertTrue(servedCount() > 0.97 * requestCount(), servedCount() + " of " + requestCount());
    }
}
