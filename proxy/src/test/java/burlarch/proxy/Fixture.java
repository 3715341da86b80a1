package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.settings.LiteralAddresses;
import burlarch.wire.Json;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A proxy on loopback, with a fake cache, a fake origin and a fake discovery service. */
public final class Fixture implements AutoCloseable {
    public static final String SETTINGS =
            """
            {"replicas_of_me":1,"membership_mode":"on_request","models":["cache","origin"],"zones":["a"],
            "quantum_ns":5000000,"specifics":{"origin_kind":1},
            "limits":{"attempts_cap":5,"cancel":true,"may_duplicate":true,"retry_after":true,
            "max_retry_after_ns":2000000000,"connect_timeout_ns":5000000000,"idle_close_ns":60000000000},
            "charges":{"connection":0.03,"handshake":0.03},
            "obligations":{"cold_from":0.13,"cold_ns":24000000000,"fall_multiple":4,"fall_ns":1000000000},
            "tenants":[{"name":"acme","fraction":1,"quota_per_s":160}],
            "request_classes":[
            {"name":"look","aim_ns":20000000000,"repeat":"pure","worth":1},
            {"name":"account-read","aim_ns":20000000000,"repeat":"pure","worth":1},
            {"name":"quick","aim_ns":300000000,"repeat":"pure","worth":1},
            {"name":"order","aim_ns":20000000000,"repeat":"side_effect","worth":1},
            {"name":"note","aim_ns":20000000000,"repeat":"token","key_scope":"all",
            "memory_span_ns":4000000000,"worth":1}]}""";

    public static final int SOCKETS = 256;

    public final FakeServer cache = new FakeServer();
    public final FakeServer origin = new FakeServer();
    public final FakeServer discovery = new FakeServer();
    final ProxyMain main;
    public final InetSocketAddress address;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private int lastId;

    /** Starts a proxy whose member list has one cache and the origin. */
    public Fixture() throws Exception {
        this(List.of());
    }

    /** @param additionalEntries entries of the member list, in addition to one cache and the origin */
    Fixture(List<String> additionalEntries) throws Exception {
        this(additionalEntries, SOCKETS);
    }

    Fixture(List<String> additionalEntries, int sockets) throws Exception {
        this(additionalEntries, sockets, Features.none());
    }

    public Fixture(List<String> additionalEntries, int sockets, Features features) throws Exception {
        this(additionalEntries, sockets, features, SETTINGS);
    }

    /** @param sockets the number of sockets that the proxy may use */
    public Fixture(List<String> additionalEntries, int sockets, Features features, String settings) throws Exception {
        main = new ProxyMain(features);
        List<String> entries = new ArrayList<>(additionalEntries);
        entries.add(entry("c-1", cache, "cache", "SERVING"));
        entries.add(entry("o-1", origin, "origin", "SERVING"));
        InetSocketAddress loopback = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        address = (InetSocketAddress) main.start(new ProxyConfig(
                "n0",
                loopback,
                LiteralAddresses.parse(discovery.hostPort()),
                7,
                sockets,
                json(list(41, true, entries)),
                json(settings)));
    }

    static Json settings() throws IOException {
        return json(SETTINGS);
    }

    static Json json(String text) throws IOException {
        return Json.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    /** An entry of the member list, as JSON. */
    public static String entry(String id, FakeServer server, String machineType, String lifecycle) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + server.hostPort() + "\",\"zone\":\"a\","
                + "\"machineType\":\"" + machineType + "\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    /** A member list, as JSON on one line. */
    static String list(int generation, boolean reset, List<String> entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + reset + ",\"instances\":[" + String.join(",", entries)
                + "]}";
    }

    /** Sends a client's request; its class is the first segment of the path. {@code headers} are names and values. */
    public CompletableFuture<HttpResponse<String>> send(String method, String path, String body, String... headers) {
        String className = path.split("/")[1];
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                .header("X-Request-ID", "id-" + ++lastId)
                .header("X-Priority-Class", className)
                .header("X-Tenant-Id", "acme")
                .header("X-Timeout-Ms", "15000")
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i < headers.length; i += 2) {
            request.setHeader(headers[i], headers[i + 1]);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a read of class {@code look}. */
    public CompletableFuture<HttpResponse<String>> read(String key) {
        return send("GET", "/look/" + key, "");
    }

    /** The address of an additional port, by the name of its setting. */
    public InetSocketAddress sidePort(String name) {
        return main.sidePort(name);
    }

    /** Waits until the proxy has no open request; requests time out later than this wait does. */
    public void awaitNoOpenRequests() throws Exception {
        long startNanos = System.nanoTime();
        while (main.openRequestCount() > 0) {
            assertTrue(
                    System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(10), "the proxy still has open requests");
        }
    }

    public void reloadCertificates() {
        main.reloadCertificates();
    }

    /** Drains the proxy as SIGTERM does; returns when all requests have their responses. */
    public void drain() {
        main.drain();
    }

    /** Writes raw text to the proxy and returns everything received until it closes the connection. */
    String raw(String text) throws IOException {
        return raw(address, text);
    }

    /** Writes raw text to an address and returns everything received until the connection is closed. */
    public static String raw(InetSocketAddress address, String text) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Override
    public void close() {
        main.stop();
        cache.close();
        origin.close();
        discovery.close();
    }
}
