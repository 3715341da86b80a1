package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.settings.LiteralAddresses;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Reload of the configuration, as SIGHUP triggers it. */
@Timeout(60)
class ReloadTest {
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

    @TempDir
    Path folder;

    private Map<String, String> configEnvironment(String discovery) throws Exception {
        Path file = Files.writeString(
                folder.resolve("config.json"),
                "{\"listen\":\"127.0.0.1:9\",\"discovery\":\"" + discovery
                        + "\",\"settings\":{\"request_classes\":[{\"name\":\"look\"}]}}");
        return Map.of("EDGE_CONFIG", file.toString());
    }

    private static void sendList(FakeServer.Received watch, String list) {
        watch.write(CHUNKED + Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n");
    }

    /** The version of the old watch does not apply to the new address, and the end of the old watch is no outage. */
    @Test
    void newAddressIsWatchedAtOnceAndNodesAndRequestsAreKept() throws Exception {
        try (Fixture fixture = new Fixture();
                FakeServer newDiscovery = new FakeServer();
                FakeServer newCache = new FakeServer()) {
            FakeServer.Received oldWatch = fixture.discovery.next();
            CompletableFuture<HttpResponse<String>> openRequest = fixture.read("k");
            FakeServer.Received nodeRequest = fixture.cache.next();
            fixture.main.reload(configEnvironment(newDiscovery.hostPort()));
            FakeServer.Received watch = newDiscovery.next();
            assertEquals("/catalog/members?stream=1", watch.uri);
            oldWatch.channel.closeFuture().sync();
            nodeRequest.answer("200 OK", "v");
            assertEquals("v", openRequest.get().body());
            sendList(
                    watch,
                    Fixture.list(
                            3,
                            true,
                            List.of(
                                    Fixture.entry("c-2", newCache, "cache", "SERVING"),
                                    Fixture.entry("o-1", fixture.origin, "origin", "SERVING"))));
            newCache.answerWith("200 OK", "of the new list");
            String body;
            do {
                // Until the new list has been read, requests go to the old node.
                fixture.cache.answerWith("200 OK", "of the old list");
                body = fixture.read("l").get().body();
            } while (body.equals("of the old list"));
            assertEquals("of the new list", body);
        }
    }

    @Test
    void unreadableConfigurationKeepsWatch() throws Exception {
        try (Fixture fixture = new Fixture();
                FakeServer newDiscovery = new FakeServer()) {
            FakeServer.Received watch = fixture.discovery.next();
            Path file = Files.writeString(folder.resolve("broken.json"), "{\"discovery\":\"" + newDiscovery.hostPort());
            fixture.main.reload(Map.of("EDGE_CONFIG", file.toString()));
            fixture.main.reload(
                    Map.of("EDGE_CONFIG", folder.resolve("none.json").toString()));
            fixture.cache.answerWith("200 OK", "v");
            assertEquals("v", fixture.read("k").get().body());
            assertTrue(watch.channel.isActive());
            assertTrue(newDiscovery.hasNoRequests());
        }
    }

    @Test
    void unchangedAddressKeepsWatch() throws Exception {
        try (Fixture fixture = new Fixture()) {
            FakeServer.Received watch = fixture.discovery.next();
            fixture.main.reload(configEnvironment(fixture.discovery.hostPort()));
            fixture.cache.answerWith("200 OK", "v");
            assertEquals("v", fixture.read("k").get().body());
            assertTrue(watch.channel.isActive());
            assertTrue(fixture.discovery.hasNoRequests());
        }
    }

    /** A failed watch is reopened after a backoff; a new address is watched at once. */
    @Test
    void newAddressIsWatchedWithoutBackoffOfFailedOne() throws Exception {
        try (Fixture fixture = new Fixture();
                FakeServer newDiscovery = new FakeServer()) {
            fixture.discovery.next();
            FakeServer closed = new FakeServer();
            closed.close();
            fixture.main.reload(configEnvironment(closed.hostPort()));
            fixture.main.reload(configEnvironment(newDiscovery.hostPort()));
            assertEquals("/catalog/members?stream=1", newDiscovery.next().uri);
        }
    }

    @Test
    void reloadDuringAndAfterDrainDoesNotDisturbIt() throws Exception {
        try (Fixture fixture = new Fixture();
                FakeServer newDiscovery = new FakeServer()) {
            fixture.discovery.next();
            CompletableFuture<HttpResponse<String>> openRequest = fixture.read("k");
            FakeServer.Received nodeRequest = fixture.cache.next();
            Thread drain = new Thread(fixture.main::drain);
            drain.start();
            fixture.main.reload(configEnvironment(newDiscovery.hostPort()));
            newDiscovery.next();
            nodeRequest.answer("200 OK", "v");
            assertEquals("v", openRequest.get().body());
            drain.join();
            fixture.main.reload(configEnvironment(fixture.discovery.hostPort()));
            assertFalse(drain.isAlive());
        }
    }

    /** A start takes a while: a reload in the meantime applies to the first watch. */
    @Test
    void reloadBeforeStartAppliesToFirstWatch() throws Exception {
        try (FakeServer oldDiscovery = new FakeServer();
                FakeServer newDiscovery = new FakeServer()) {
            ProxyMain main = new ProxyMain(Features.none());
            main.reload(configEnvironment(newDiscovery.hostPort()));
            main.start(new ProxyConfig(
                    "n0",
                    new InetSocketAddress("127.0.0.1", 0),
                    LiteralAddresses.parse(oldDiscovery.hostPort()),
                    7,
                    Fixture.SOCKETS,
                    Fixture.json("{}"),
                    Fixture.settings()));
            assertEquals("/catalog/members?stream=1", newDiscovery.next().uri.replaceAll("&index=.*", ""));
            assertTrue(oldDiscovery.hasNoRequests());
            main.stop();
        }
    }
}
