package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.settings.LiteralAddresses;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Member lists from discovery take effect, as observed by the nodes that requests are sent to. */
@Timeout(60)
class DiscoveryTest {
    private static final String WATCH_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Reads keys until the cache with this name responds: lists arrive on another connection, at an unknown time. */
    private static void awaitServedBy(Fixture fixture, String name) throws Exception {
        for (int i = 0; !fixture.read("k" + i).get().body().equals(name); i++) {
            assertTrue(i < 100_000, "never served by " + name);
        }
    }

    @Test
    void watchStartsFromRestoredGeneration() throws Exception {
        try (Fixture fixture = new Fixture()) {
            assertEquals("/catalog/members?stream=1&index=41", fixture.discovery.next().uri);
        }
    }

    /** Lists are split across reads, and several come in one read. A draining node gets no new requests. */
    @Test
    void listSplitAcrossReadsIsApplied() throws Exception {
        try (Fixture fixture = new Fixture();
                FakeServer newCache = new FakeServer()) {
            fixture.cache.answerWith("200 OK", "old");
            newCache.answerWith("200 OK", "new");
            String line = Fixture.list(
                            43,
                            false,
                            List.of(
                                    Fixture.entry("c-1", fixture.cache, "cache", "DRAINING"),
                                    Fixture.entry("c-2", newCache, "cache", "SERVING")))
                    + "\n";
            FakeServer.Received watch = fixture.discovery.next();
            watch.write(WATCH_HEAD + chunk("\n" + line.substring(0, 30)));
            assertEquals("old", fixture.read("k").get().body());
            watch.write(chunk(line.substring(30) + "\n"));
            awaitServedBy(fixture, "new");
            for (int i = 0; i < 20; i++) {
                assertEquals("new", fixture.read("j" + i).get().body());
            }
        }
    }

    /** Lists may be indented and split anywhere: each byte is sent in a chunk of its own. */
    @Test
    void indentedListInSingleByteChunksIsApplied() throws Exception {
        try (Fixture fixture = new Fixture();
                FakeServer newCache = new FakeServer()) {
            fixture.cache.answerWith("200 OK", "old");
            newCache.answerWith("200 OK", "new");
            String list = Fixture.list(
                            43,
                            false,
                            List.of(
                                    Fixture.entry("c-1", fixture.cache, "cache", "DRAINING"),
                                    Fixture.entry("c-2", newCache, "cache", "SERVING")))
                    .replace("{", "{\n    ")
                    .replace(",", ",\n  ")
                    .replace("}", "\n  }");
            FakeServer.Received watch = fixture.discovery.next();
            watch.write(WATCH_HEAD);
            for (int i = 0; i < list.length(); i++) {
                watch.write(chunk(list.substring(i, i + 1)));
            }
            awaitServedBy(fixture, "new");
            for (int i = 0; i < 20; i++) {
                assertEquals("new", fixture.read("j" + i).get().body());
            }
            watch.channel.close();
            assertEquals("/catalog/members?stream=1&index=43", fixture.discovery.next().uri);
        }
    }

    @Test
    void listWithResetReplacesAllMembers() throws Exception {
        try (Fixture fixture = new Fixture();
                FakeServer newCache = new FakeServer()) {
            fixture.cache.answerWith("200 OK", "old");
            newCache.answerWith("200 OK", "new");
            FakeServer.Received watch = fixture.discovery.next();
            watch.write(WATCH_HEAD
                    + chunk(Fixture.list(
                                    50,
                                    true,
                                    List.of(
                                            Fixture.entry("c-2", newCache, "cache", "SERVING"),
                                            Fixture.entry("o-1", fixture.origin, "origin", "SERVING")))
                            + "\n"));
            awaitServedBy(fixture, "new");
            for (int i = 0; i < 20; i++) {
                assertEquals("new", fixture.read("j" + i).get().body());
            }
        }
    }

    @Test
    void malformedListKeepsPreviousListAndWatch() throws Exception {
        try (Fixture fixture = new Fixture();
                FakeServer newCache = new FakeServer()) {
            fixture.cache.answerWith("200 OK", "old");
            newCache.answerWith("200 OK", "new");
            FakeServer.Received watch = fixture.discovery.next();
            watch.write(WATCH_HEAD
                    + chunk("{\"generation\":\n")
                    + chunk("[1,2]\n")
                    + chunk(Fixture.list(
                                    9,
                                    true,
                                    List.of("{\"instanceId\":\"c-9\",\"hostPort\":\"nowhere\","
                                            + "\"lifecycle\":\"SERVING\"}"))
                            + "\n"));
            assertEquals("old", fixture.read("k").get().body());
            watch.write(chunk(Fixture.list(
                            44,
                            false,
                            List.of(
                                    Fixture.entry("c-1", fixture.cache, "cache", "DELETED"),
                                    Fixture.entry("c-2", newCache, "cache", "SERVING")))
                    + "\n"));
            awaitServedBy(fixture, "new");
        }
    }

    /** Discovery may crash in the middle of a list: an incomplete list must not take effect. */
    @Test
    void truncatedListKeepsPreviousListAndIsRequestedAgain() throws Exception {
        try (Fixture fixture = new Fixture();
                FakeServer newCache = new FakeServer()) {
            fixture.cache.answerWith("200 OK", "old");
            newCache.answerWith("200 OK", "new");
            String line = Fixture.list(
                            50,
                            true,
                            List.of(
                                    Fixture.entry("c-2", newCache, "cache", "SERVING"),
                                    Fixture.entry("o-1", fixture.origin, "origin", "SERVING")))
                    + "\n";
            FakeServer.Received watch = fixture.discovery.next();
            watch.write(WATCH_HEAD + chunk(line.substring(0, line.length() - 4)));
            watch.reset();
            FakeServer.Received secondWatch = fixture.discovery.next();
            assertEquals(
                    "/catalog/members?stream=1&index=41", secondWatch.uri, "the truncated list must not take effect");
            for (int i = 0; i < 20; i++) {
                assertEquals("old", fixture.read("k" + i).get().body());
            }
            secondWatch.write(WATCH_HEAD + chunk(line));
            awaitServedBy(fixture, "new");
        }
    }

    /** The node keeps its id when its address changes. */
    @Test
    void changedNodeAddressIsUsed() throws Exception {
        try (Fixture fixture = new Fixture();
                FakeServer newAddress = new FakeServer()) {
            fixture.cache.answerWith("200 OK", "old");
            newAddress.answerWith("200 OK", "new");
            FakeServer.Received watch = fixture.discovery.next();
            assertEquals("old", fixture.read("k").get().body());
            watch.write(WATCH_HEAD
                    + chunk(Fixture.list(44, false, List.of(Fixture.entry("c-1", newAddress, "cache", "SERVING")))
                            + "\n"));
            awaitServedBy(fixture, "new");
        }
    }

    @Test
    void endedWatchIsReopenedFromLastGeneration() throws Exception {
        try (Fixture fixture = new Fixture()) {
            FakeServer.Received watch = fixture.discovery.next();
            watch.write(WATCH_HEAD + chunk(Fixture.list(47, false, List.of()) + "\n") + "0\r\n\r\n");
            assertEquals("/catalog/members?stream=1&index=47", fixture.discovery.next().uri);
        }
    }

    @Test
    void refusedOrResetWatchIsReopened() throws Exception {
        try (Fixture fixture = new Fixture()) {
            fixture.discovery.next().answer("503 Service Unavailable", "");
            fixture.discovery.next().reset();
            fixture.discovery.next();
        }
    }

    /** TCP does not report a discovery host that has vanished; only its silence shows it. */
    @Test
    void silentWatchIsReopened() throws Exception {
        try (Fixture fixture = new Fixture()) {
            fixture.discovery.next().write(WATCH_HEAD);
            fixture.discovery.next();
        }
    }

    /** Bytes arrive, but never a complete list. Changes that are missed in this way count as known all the same. */
    @Test
    void watchWithoutCompleteListIsReopened() throws Exception {
        try (Fixture fixture = new Fixture()) {
            FakeServer.Received watch = fixture.discovery.next();
            watch.write(WATCH_HEAD + chunk("{\"generation\":\""));
            long startNanos = System.nanoTime();
            while (fixture.discovery.hasNoRequests() && System.nanoTime() - startNanos < 20_000_000_000L) {
                watch.writeIfOpen(chunk("x"));
                Thread.sleep(100);
            }
            assertEquals("/catalog/members?stream=1&index=41", fixture.discovery.next().uri);
        }
    }

    /**
     * The agent's list counts as known to the proxy from the start of the process, so the proxy must not accept
     * clients before it has that list.
     */
    @Test
    void startWaitsForFirstListIfListsArePushed() throws Exception {
        try (FakeServer agent = new FakeServer();
                FakeServer drainingCache = new FakeServer();
                FakeServer servingCache = new FakeServer();
                FakeServer origin = new FakeServer()) {
            servingCache.answerWith("200 OK", "v");
            ProxyMain main = new ProxyMain(Features.none());
            String restoredList = Fixture.list(
                    40,
                    true,
                    List.of(
                            Fixture.entry("c-1", drainingCache, "cache", "SERVING"),
                            Fixture.entry("o-1", origin, "origin", "SERVING")));
            CompletableFuture<SocketAddress> start = CompletableFuture.supplyAsync(() -> {
                try {
                    return main.start(new ProxyConfig(
                            "n0",
                            new InetSocketAddress("127.0.0.1", 0),
                            LiteralAddresses.parse(agent.hostPort()),
                            7,
                            Fixture.SOCKETS,
                            Fixture.json(restoredList),
                            Fixture.json(Fixture.SETTINGS.replace("on_request", "pushed"))));
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            FakeServer.Received watch = agent.next();
            assertThrows(TimeoutException.class, () -> start.get(300, TimeUnit.MILLISECONDS));
            watch.write(WATCH_HEAD
                    + chunk(Fixture.list(
                                    41,
                                    false,
                                    List.of(
                                            Fixture.entry("c-1", drainingCache, "cache", "DRAINING"),
                                            Fixture.entry("c-2", servingCache, "cache", "SERVING")))
                            + "\n"));
            InetSocketAddress address = (InetSocketAddress) start.get();
            assertTrue(Fixture.raw(address, BadInputTest.request("GET", "/look/k", "", "Connection: close"))
                    .startsWith("HTTP/1.1 200 "));
            assertTrue(drainingCache.hasNoRequests());
            main.stop();
        }
    }

    /** Both names have the same digest; they are two nodes all the same. */
    @Test
    void nodesWithEqualNameDigestsAreKeptApart() throws Exception {
        try (FakeServer firstCache = new FakeServer();
                FakeServer secondCache = new FakeServer();
                Fixture fixture = new Fixture(List.of(
                        Fixture.entry("a1", firstCache, "cache", "SERVING"),
                        Fixture.entry("0a1", secondCache, "cache", "SERVING")))) {
            fixture.cache.answerWith("200 OK", "other");
            firstCache.answerWith("200 OK", "a1");
            secondCache.answerWith("200 OK", "0a1");
            awaitServedBy(fixture, "a1");
            awaitServedBy(fixture, "0a1");
        }
    }
}
