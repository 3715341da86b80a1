package burlarch.proxy.hotlist;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.proxy.FakeServer;
import burlarch.proxy.Fixture;
import burlarch.proxy.ProxyProcess;
import burlarch.wire.Json;
import java.io.BufferedReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The hot list of the packaged program, requested through the command line. */
@Timeout(120)
class HotListIT {
    @TempDir
    Path folder;

    private static List<String> readJsonLines(BufferedReader standardError, int count) throws Exception {
        List<String> lines = new ArrayList<>();
        while (lines.size() < count) {
            String line = standardError.readLine();
            assertNotNull(line, "the program has ended after " + lines);
            if (line.startsWith("{")) {
                lines.add(line);
            }
        }
        return lines;
    }

    /** The list has more lines than the log's limit of five a second, and is written whole; it is empty at first. */
    @Test
    void keysOfASkewedMixAreWrittenHighestCountFirst() throws Exception {
        Map<String, Integer> requestsByKey = Map.of("a", 13, "b", 11, "c", 9, "d", 7, "e", 5, "f", 4, "g", 2, "h", 1);
        try (FakeServer cache = new FakeServer();
                ProxyProcess program = ProxyProcess.serve(
                        folder, List.of(Fixture.entry("c-1", cache, "cache", "SERVING")), "--hot-list")) {
            cache.answerWith("200 OK", "v");
            ProxyProcess.Ended ended = program.command("hot-list");
            assertEquals(0, ended.status(), ended.error());
            assertEquals(List.of("{\"entries\":0}"), readJsonLines(program.error(), 1));
            int id = 0;
            for (Map.Entry<String, Integer> key : requestsByKey.entrySet()) {
                for (int i = 0; i < key.getValue(); i++) {
                    Fixture.raw(
                            program.address(),
                            "GET /look/" + key.getKey() + " HTTP/1.1\r\nHost: x\r\n"
                                    + "Connection: close\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 9000\r\n"
                                    + "X-Request-ID: i" + id++ + "\r\n\r\n");
                }
            }
            assertEquals(0, program.command("hot-list").status());
            List<String> lines = readJsonLines(program.error(), requestsByKey.size());
            List<String> keys = new ArrayList<>();
            for (String line : lines) {
                Json json = Json.parse(line.getBytes(StandardCharsets.UTF_8));
                String key = json.get("key").text("");
                keys.add(key);
                assertEquals("look", json.get("class").text(""));
                assertEquals("acme", json.get("tenant").text(""));
                assertEquals((long) requestsByKey.get(key), json.get("count").integer(-1));
                assertEquals(0, json.get("error").integer(-1));
                assertTrue(json.get("rate_per_s").number(-1) > 0, line);
            }
            assertEquals(List.of("a", "b", "c", "d", "e", "f", "g", "h"), keys);
        }
    }

    /** Requests are answered although nobody reads the program's standard error and its pipe is full. */
    @Test
    void aBlockedStandardErrorDelaysNoRequest() throws Exception {
        try (FakeServer cache = new FakeServer();
                ProxyProcess program = ProxyProcess.serve(
                        folder, List.of(Fixture.entry("c-1", cache, "cache", "SERVING")), "--hot-list")) {
            cache.answerWith("200 OK", "v");
            for (int i = 0; i < 300; i++) {
                String tenant = "t".repeat(128);
                String answer = Fixture.raw(
                        program.address(),
                        "GET /look/" + "k".repeat(120) + i
                                + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Tenant-Id: " + tenant
                                + "\r\nX-Timeout-Ms: 9000\r\nX-Request-ID: i" + i + "\r\n\r\n");
                assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
                if (i % 10 == 9) {
                    // 30 lists of up to 7 kB exceed the pipe's buffer.
                    program.signal("USR1");
                }
            }
        }
    }

    /** Without a handler, the signal would terminate the proxy. */
    @Test
    void aProxyWithoutAHotListIsNotSignalled() throws Exception {
        try (ProxyProcess program = ProxyProcess.serve(folder, List.of())) {
            ProxyProcess.Ended ended = program.command("hot-list");
            assertEquals(1, ended.status());
            assertTrue(ended.error().contains("no hot list in service"), ended.error());
            assertTrue(program.isAlive());
        }
    }

    @Test
    void invalidArgumentsAndOtherProcessesAreReportedInOneLine() throws Exception {
        for (String[] arguments : new String[][] {
            {"hot-list"},
            {"hot-list", "--pid", "99999999"},
            {"hot-list", "--pid", Long.toString(ProcessHandle.current().pid())}
        }) {
            ProxyProcess.Ended ended =
                    ProxyProcess.run(Path.of("..", "bin", "burlarch").toString(), arguments);
            assertFalse(ended.status() == 0);
            assertEquals(1, ended.error().lines().count(), ended.error());
        }
    }
}
