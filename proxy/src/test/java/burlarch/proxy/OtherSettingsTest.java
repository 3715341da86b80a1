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

/** The program under settings of another customer: what classes are called and may do is theirs to say. */
@Timeout(60)
class OtherSettingsTest {
    /** A read that may not be repeated and one that may, a write that may, one without a key, one with. */
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

    private static final List<String> SITES_NAMES = List.of(
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

    private Fixture start() throws Exception {
        return new Fixture(List.of(), Fixture.SOCKETS, Features.none(), SETTINGS);
    }

    private static void breaks(FakeServer.Received asked) {
        asked.reset();
    }

    @Test
    void aReadThatMayNotBeRepeatedIsNotAndFails() throws Exception {
        try (Fixture f = start()) {
            CompletableFuture<HttpResponse<String>> draw = f.send("GET", "/ticket-draw/k", "");
            breaks(f.cache.next());
            assertEquals(502, draw.get().statusCode());
            assertTrue(f.cache.nothingAsked() && f.origin.nothingAsked());
            // A miss proves that nothing ran: it may be fetched.
            draw = f.send("GET", "/ticket-draw/l", "");
            f.cache.next().answer("404 Not Found", "");
            f.origin.next().answer("200 OK", "drawn");
            assertEquals("drawn", draw.get().body());
        }
    }

    @Test
    void aWriteThatMayBeRepeatedFreelyNeedsNoKeyAndIs() throws Exception {
        try (Fixture f = start()) {
            CompletableFuture<HttpResponse<String>> put = f.send("PUT", "/profile-put/k", "v");
            breaks(f.origin.next());
            f.origin.next().answer("200 OK", "kept");
            assertEquals("kept", put.get().body());
        }
    }

    @Test
    void aWriteWithoutAKeyIsSentOnceAndFails() throws Exception {
        try (Fixture f = start()) {
            CompletableFuture<HttpResponse<String>> post = f.send("PUT", "/till-post/k", "v");
            breaks(f.origin.next());
            assertEquals(502, post.get().statusCode());
            assertTrue(f.origin.nothingAsked());
        }
    }

    @Test
    void anAnswerOfRefusalHasNoAdviceWhereTheSettingsAllowNone() throws Exception {
        try (Fixture f = start()) {
            CompletableFuture<HttpResponse<String>> read = f.send("GET", "/rate-sheet/k", "");
            f.cache.next().answer("404 Not Found", "");
            for (int i = 0; i < 2; i++) {
                f.origin.next().answer("503 Service Unavailable", "", "X-Not-Processed: 1");
            }
            assertEquals(429, read.get().statusCode());
            assertFalse(read.get().headers().firstValue("retry-after").isPresent());
        }
    }

    @Test
    void classesOfOtherSettingsAreUnknown() throws Exception {
        try (Fixture f = start()) {
            for (String name : List.of("account-read", "repayment", "note-add", "look")) {
                assertEquals(404, f.send("GET", "/" + name + "/k", "").get().statusCode(), name);
            }
        }
    }

    @Test
    void multiGetTakesWhatTheSettingsLetRepeatFreelyAndNothingElse() throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        try (Fixture f = new Fixture(
                List.of(), Fixture.SOCKETS, Features.none().with(new MultiGetSettings(anyPort, 4)), SETTINGS)) {
            f.cache.answerWith("200 OK", "sheet");
            assertTrue(multi(f, "rate-sheet").contains("m1 200 5\nsheet\n"));
            for (String name : List.of("ticket-draw", "draft-save", "account-read", "")) {
                assertTrue(multi(f, name).startsWith("HTTP/1.1 404 "), name);
            }
        }
    }

    private static String multi(Fixture f, String name) throws IOException {
        return Fixture.raw(
                f.sidePort("multiget.listen"),
                "POST /multi/" + name + " HTTP/1.1\r\nHost: x\r\n"
                        + "X-Tenant-Id: north\r\nX-Timeout-Ms: 15000\r\nConnection: close\r\nContent-Length: 5\r\n"
                        + "\r\nm1 k\n");
    }

    /** Guards against what only one deployment is called or has, in what is run or in how it is run. */
    @Test
    void noNameOfTheSiteStandsInTheProgramOrTheDeployFile() throws Exception {
        for (String place : List.of(
                "../decisions/src/main",
                "../overload/src/main",
                "../settings/src/main",
                "src/main",
                "../deploy/balancer.toml",
                "../deploy/burlarch.toml")) {
            try (Stream<Path> files = Files.walk(Path.of(place))) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    String text = Files.readString(file, StandardCharsets.UTF_8);
                    for (String name : SITES_NAMES) {
                        assertFalse(text.contains(name), file + " has " + name);
                    }
                }
            }
        }
    }
}
