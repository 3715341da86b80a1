package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.proxy.multiget.MultiGetSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The proxy under settings of another site: the names and the properties of request classes come from there. */
@Timeout(60)
class AlternativeSettingsTest {
    /**
     * A read that must not be repeated and one that may be, a write that may be repeated freely, one that must not
     * be, and one that may be repeated with its idempotency key.
     */
    private static final String SETTINGS =
            """
            {"replicas_of_me":1,"membership_mode":"on_request","models":["cache","origin"],"zones":["x","y"],
            "quantum_ns":5000000,"specifics":{"origin_kind":1},
            "limits":{"attempts_cap":3,"cancel":true,"may_duplicate":false,"retry_after":false,
            "max_retry_after_ns":1000000000,"connect_timeout_ns":500000000,"idle_close_ns":9000000000},
            "charges":{"connection":0,"handshake":0.1},
            "obligations":{"cold_from":0.2,"cold_ns":9000000000,"fall_multiple":2,"fall_ns":2000000000,
            "must_ask_in_ns":6000000000},
            "tenants":[{"name":"north","fraction":0.5,"quota_per_s":90},
            {"name":"south","fraction":0.5,"quota_per_s":90}],
            "request_classes":[
            {"name":"ticket-draw","aim_ns":20000000000,"repeat":"side_effect","worth":4},
            {"name":"rate-sheet","aim_ns":20000000000,"repeat":"pure","worth":1},
            {"name":"profile-put","aim_ns":20000000000,"repeat":"pure","worth":1},
            {"name":"till-post","aim_ns":20000000000,"repeat":"side_effect","worth":9},
            {"name":"draft-save","aim_ns":20000000000,"repeat":"token","key_scope":"zone",
            "memory_span_ns":4000000000,"worth":2}]}""";

    private static final List<String> SITE_SPECIFIC_NAMES = List.of(
            "account-read",
            "repayment",
            "note-add",
            "oviedo",
            "gijon",
            "santander",
            "bilbao",
            "aviles",
            "torrelavega",
            "norte-prestamos",
            "cache-cuentas");

    private Fixture startWithOtherSettings() throws Exception {
        return new Fixture(List.of(), Fixture.SOCKETS, Features.none(), SETTINGS);
    }

    private static void resetConnection(FakeServer.Received nodeRequest) {
        nodeRequest.reset();
    }

    @Test
    void nonRepeatableReadFailsAfterResetAndIsNotRetried() throws Exception {
        try (Fixture fixture = startWithOtherSettings()) {
            CompletableFuture<HttpResponse<String>> draw = fixture.send("GET", "/ticket-draw/k", "");
            resetConnection(fixture.cache.next());
            assertEquals(502, draw.get().statusCode());
            assertTrue(fixture.cache.hasNoRequests() && fixture.origin.hasNoRequests());
            // A miss proves that nothing ran: the value may be fetched from the origin.
            draw = fixture.send("GET", "/ticket-draw/l", "");
            fixture.cache.next().answer("404 Not Found", "");
            fixture.origin.next().answer("200 OK", "drawn");
            assertEquals("drawn", draw.get().body());
        }
    }

    @Test
    void pureWriteWithoutIdempotencyKeyIsRetriedAfterReset() throws Exception {
        try (Fixture fixture = startWithOtherSettings()) {
            CompletableFuture<HttpResponse<String>> put = fixture.send("PUT", "/profile-put/k", "v");
            resetConnection(fixture.origin.next());
            fixture.origin.next().answer("200 OK", "kept");
            assertEquals("kept", put.get().body());
        }
    }

    @Test
    void sideEffectWriteFailsAfterResetAndIsNotRetried() throws Exception {
        try (Fixture fixture = startWithOtherSettings()) {
            CompletableFuture<HttpResponse<String>> post = fixture.send("PUT", "/till-post/k", "v");
            resetConnection(fixture.origin.next());
            assertEquals(502, post.get().statusCode());
            assertTrue(fixture.origin.hasNoRequests());
        }
    }

    @Test
    void refusalHasNoRetryAfterIfSettingsForbidIt() throws Exception {
        try (Fixture fixture = startWithOtherSettings()) {
            CompletableFuture<HttpResponse<String>> read = fixture.send("GET", "/rate-sheet/k", "");
            fixture.cache.next().answer("404 Not Found", "");
            for (int i = 0; i < 2; i++) {
                fixture.origin.next().answer("503 Service Unavailable", "", "X-Not-Processed: 1");
            }
            assertEquals(429, read.get().statusCode());
            assertFalse(read.get().headers().firstValue("retry-after").isPresent());
        }
    }

    @Test
    void requestClassesOfOtherSettingsAreUnknown() throws Exception {
        try (Fixture fixture = startWithOtherSettings()) {
            for (String name : List.of("account-read", "repayment", "note-add", "look")) {
                assertEquals(
                        404, fixture.send("GET", "/" + name + "/k", "").get().statusCode(), name);
            }
        }
    }

    @Test
    void multiGetAcceptsOnlyPureClasses() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        try (Fixture fixture = new Fixture(
                List.of(), Fixture.SOCKETS, Features.none().with(new MultiGetSettings(anyPort, 4)), SETTINGS)) {
            fixture.cache.answerWith("200 OK", "sheet");
            assertTrue(sendMultiGet(fixture, "rate-sheet").contains("m1 200 5\nsheet\n"));
            for (String name : List.of("ticket-draw", "draft-save", "account-read", "")) {
                assertTrue(sendMultiGet(fixture, name).startsWith("HTTP/1.1 404 "), name);
            }
        }
    }

    private static String sendMultiGet(Fixture fixture, String name) throws IOException {
        return Fixture.raw(
                fixture.sidePort("multiget.listen"),
                "POST /multi/" + name + " HTTP/1.1\r\nHost: x\r\n"
                        + "X-Tenant-Id: north\r\nX-Timeout-Ms: 15000\r\nConnection: close\r\nContent-Length: 5\r\n"
                        + "\r\nm1 k\n");
    }

    /** Names that only one site uses must not appear in the sources or the deploy files. */
    @Test
    void sourcesAndDeployFilesContainNoSiteSpecificName() throws Exception {
        for (String root : List.of(
                "../decisions/src/main",
                "../overload/src/main",
                "../settings/src/main",
                "src/main",
                "../deploy/balancer.toml",
                "../deploy/burlarch.toml")) {
            try (Stream<Path> files = Files.walk(Path.of(root))) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    String text = Files.readString(file, StandardCharsets.UTF_8);
                    for (String name : SITE_SPECIFIC_NAMES) {
                        assertFalse(text.contains(name), file + " contains " + name);
                    }
                }
            }
        }
    }
}
