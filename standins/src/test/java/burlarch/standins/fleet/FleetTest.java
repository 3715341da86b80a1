package burlarch.standins.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.audit.Attempt;
import burlarch.audit.MembershipUpdate;
import burlarch.audit.MemorySink;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests a small fleet on loopback: the protocol of its servers, and the effect of each fault as peers see it. */
class FleetTest {
    private static final String PLAN =
            """
            [[kind]]
            name = "fast"
            cold_ms = 1
            [[nodes]]
            kind = "fast"
            count = 2
            zone = "a"
            [[class]]
            name = "read"
            work_ms = 1
            [[class]]
            name = "pay"
            work_ms = 1
            write = true
            repeat = "token"
            [discovery]
            notice_ms = 1
            silent_notice_ms = 1
            add_ms = 1
            """;

    private final MemorySink sink = new MemorySink(1000);
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private Fleet fleet;
    private int lastRequestId;

    private void start(String extraToml) throws Exception {
        fleet = Fleet.start(plan(PLAN + extraToml), sink);
    }

    private static FleetPlan plan(String text) throws SettingsException {
        SettingsFile file = SettingsFile.parse("fleet.toml", text);
        FleetPlan plan = FleetPlan.read(file);
        file.rejectUnreadKeys();
        return plan;
    }

    @AfterEach
    void stop() {
        if (fleet != null) {
            fleet.close();
        }
    }

    private HttpResponse<String> send(String node, String method, String path, String... headers) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + fleet.node(node, "n0").getPort() + path))
                .method(method, HttpRequest.BodyPublishers.noBody())
                .header("X-Request-ID", "r" + ++lastRequestId);
        for (int i = 0; i < headers.length; i += 2) {
            request.setHeader(headers[i], headers[i + 1]);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private List<Attempt.Fate> fates() {
        return sink.records().attempts().stream().map(Attempt::fate).toList();
    }

    /** Waits for an effect of another thread, with a limit long enough for a busy machine. */
    private static void await(java.util.concurrent.Callable<Boolean> condition) throws Exception {
        for (int i = 0; i < 20_000 && !condition.call(); i++) {
            Thread.sleep(1);
        }
        assertTrue(condition.call());
    }

    @Test
    void missIsFetchedAndStoredAndWriteInvalidatesCopies() throws Exception {
        start("");
        HttpResponse<String> miss = send("c-0", "GET", "/read/k1", "X-Request-ID", "one");
        assertEquals(404, miss.statusCode());
        assertEquals("miss", miss.headers().firstValue("X-Cache-Status").orElse(""));
        HttpResponse<String> fetched = send("ledger", "GET", "/read/k1", "X-Request-ID", "one");
        assertEquals(200, fetched.statusCode());
        assertTrue(fetched.body().startsWith("k1@0;"));
        await(() -> send("c-0", "GET", "/read/k1").statusCode() == 200);
        assertEquals(404, send("c-1", "GET", "/read/k1").statusCode());
        assertEquals(
                200, send("ledger", "PUT", "/pay/k1", "Idempotency-Key", "p1").statusCode());
        assertEquals(
                "k1=again",
                send("ledger", "PUT", "/pay/k1", "Idempotency-Key", "p1").body());
        assertEquals(1, fleet.writes());
        await(() -> send("c-0", "GET", "/read/k1").statusCode() == 404);
        assertTrue(send("ledger", "GET", "/read/k1").body().startsWith("k1@1;"));
    }

    @Test
    void requestWithoutIdOrKnownClassIsRejected() throws Exception {
        start("");
        assertEquals(400, send("c-0", "GET", "/nothing/k1").statusCode());
        HttpRequest requestWithoutId = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + fleet.node("c-0", "n0").getPort() + "/read/k1"))
                .build();
        assertEquals(
                404,
                client.send(requestWithoutId, HttpResponse.BodyHandlers.ofString())
                        .statusCode());
        assertEquals(List.of(), fates());
    }

    @Test
    void hungNodeDoesNotAnswerUntilHealed() throws Exception {
        start("");
        fleet.inject(Fault.Kind.HUNG, 0, "c-0");
        try (Socket socket = connect("c-0", 5000)) {
            write(socket, "GET /read/k1 HTTP/1.1\r\nX-Request-ID: h\r\n\r\n");
            socket.setSoTimeout(100);
            assertThrows(
                    SocketTimeoutException.class, () -> socket.getInputStream().read());
            fleet.inject(Fault.Kind.HEAL, 0, "c-0");
            socket.setSoTimeout(20_000);
            assertEquals('H', socket.getInputStream().read());
        }
    }

    @Test
    void pausedNodeMakesNoProgressAndResumes() throws Exception {
        start("");
        fleet.inject("do = \"slow\"\nnode = \"ledger\"\ntimes = 300");
        try (Socket firstConnection = connect("ledger", 5000);
                Socket secondConnection = connect("ledger", 5000)) {
            write(firstConnection, "GET /read/k1 HTTP/1.1\r\nX-Request-ID: b\r\n\r\n");
            firstConnection.setSoTimeout(50);
            assertThrows(
                    SocketTimeoutException.class,
                    () -> firstConnection.getInputStream().read());
            fleet.inject(Fault.Kind.PAUSE, 0, "ledger");
            write(secondConnection, "GET /read/k2 HTTP/1.1\r\nX-Request-ID: l\r\n\r\n");
            firstConnection.setSoTimeout(500);
            assertThrows(
                    SocketTimeoutException.class,
                    () -> firstConnection.getInputStream().read());
            fleet.inject(Fault.Kind.HEAL, 0, "ledger");
            firstConnection.setSoTimeout(20_000);
            secondConnection.setSoTimeout(20_000);
            assertEquals('H', firstConnection.getInputStream().read());
            assertEquals('H', secondConnection.getInputStream().read());
        }
        await(() -> fates().size() >= 2);
        assertEquals(2, fates().size());
    }

    @Test
    void discoveryProcessesCallsInTurnAndRejectsThoseThatWouldWaitTooLong() throws Exception {
        start("call_ms = 300\nwait_ms = 450");
        HttpRequest list = HttpRequest.newBuilder(URI.create("http://" + fleet.discovery("n0") + "/catalog/members"))
                .build();
        long startNanos = System.nanoTime();
        List<java.util.concurrent.CompletableFuture<Integer>> calls = new java.util.ArrayList<>();
        for (int i = 0; i < 5; i++) {
            calls.add(
                    client.sendAsync(list, HttpResponse.BodyHandlers.ofString()).thenApply(HttpResponse::statusCode));
        }
        List<Integer> statuses = calls.stream()
                .map(java.util.concurrent.CompletableFuture::join)
                .sorted()
                .toList();
        assertTrue(System.nanoTime() - startNanos >= 600_000_000L, "two calls in turn take twice as long");
        assertEquals(200, statuses.get(0));
        assertTrue(statuses.contains(503), statuses.toString());
        assertEquals(
                200, client.send(list, HttpResponse.BodyHandlers.ofString()).statusCode());
    }

    @Test
    void killedNodeResetsAndRefusesConnectionsAndRestartsColdAndEmpty() throws Exception {
        start("");
        try (Socket socket = connect("c-0", 5000)) {
            fleet.inject(Fault.Kind.KILL, 0, "c-0");
            assertThrows(IOException.class, () -> {
                if (socket.getInputStream().read() < 0) {
                    throw new IOException("ended");
                }
            });
        }
        assertThrows(ConnectException.class, () -> connect("c-0", 5000).close());
        InetSocketAddress previousAddress = fleet.node("c-0", "n0");
        fleet.inject(Fault.Kind.START, 0, "c-0");
        assertEquals(previousAddress, fleet.node("c-0", "n0"));
        connect("c-0", 5000).close();
        assertEquals("c-0", sink.records().nodeStarts().get(0).node());
        fleet.inject(Fault.Kind.MOVE, 0, "c-0");
        assertNotEquals(previousAddress, fleet.node("c-0", "n0"));
        assertEquals(404, send("c-0", "GET", "/read/k1").statusCode());
    }

    @Test
    void vanishedNodeIsSilentAndAcceptsNoConnections() throws Exception {
        start("");
        try (Socket open = connect("c-0", 5000)) {
            fleet.inject(Fault.Kind.VANISH, 0, "c-0");
            write(open, "GET /read/k1 HTTP/1.1\r\nX-Request-ID: v\r\n\r\n");
            open.setSoTimeout(100);
            assertThrows(
                    SocketTimeoutException.class, () -> open.getInputStream().read());
            assertThrows(SocketTimeoutException.class, () -> connect("c-0", 300).close());
            fleet.inject(Fault.Kind.HEAL, 0, "c-0");
            assertEquals(404, send("c-0", "GET", "/read/k1").statusCode());
        }
    }

    @Test
    void drainingNodeRejectsRequestsAndSlowNodeIsSlowedByFactor() throws Exception {
        start("");
        fleet.inject(Fault.Kind.DRAIN, 0, "c-0");
        HttpResponse<String> rejected = send("c-0", "GET", "/read/k1");
        assertEquals(503, rejected.statusCode());
        assertEquals("1", rejected.headers().firstValue("X-Not-Processed").orElse(""));
        fleet.inject("do = \"slow\"\nnode = \"ledger\"\ntimes = 200");
        long startNanos = System.nanoTime();
        send("ledger", "GET", "/read/k1");
        assertTrue(System.nanoTime() - startNanos >= 199_000_000L);
    }

    @Test
    void requestsAreResetAtConfiguredShare() throws Exception {
        start("");
        fleet.inject(Fault.Kind.RESET, 1, "c-0");
        assertThrows(IOException.class, () -> send("c-0", "GET", "/read/k1"));
        assertEquals(Attempt.Fate.RESET, fates().get(0));
    }

    @Test
    void connectionsBeyondLimitAreReset() throws Exception {
        fleet = Fleet.start(
                plan(PLAN.replace("cold_ms = 1\n[[nodes]]", "cold_ms = 1\nconnections = 1\n[[nodes]]")), sink);
        try (Socket first = connect("c-0", 5000);
                Socket second = connect("c-0", 5000)) {
            assertThrows(IOException.class, () -> {
                write(second, "GET /read/k1 HTTP/1.1\r\nX-Request-ID: h\r\n\r\n");
                if (second.getInputStream().read() < 0) {
                    throw new IOException("ended");
                }
            });
            write(first, "GET /read/k1 HTTP/1.1\r\nX-Request-ID: h\r\n\r\n");
            assertEquals('H', first.getInputStream().read());
        }
    }

    @Test
    void watchReportsDrainRemovalEmptyListAndRecovery() throws Exception {
        start("");
        String[] address = fleet.discovery("n0").split(":");
        try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
            write(socket, "GET /catalog/members?stream=1&index=44 HTTP/1.1\r\n\r\n");
            BufferedReader lines =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            assertTrue(nextUpdate(lines).contains("\"reset\":false,\"instances\":[]"));
            fleet.inject(Fault.Kind.DRAIN, 0, "c-1");
            assertTrue(nextUpdate(lines).contains("DRAINING"));
            fleet.inject(Fault.Kind.LEAVE, 0, "c-1");
            assertTrue(nextUpdate(lines).contains("DELETED"));
            fleet.inject(Fault.Kind.DISCOVERY_EMPTY, 0);
            assertTrue(nextUpdate(lines).contains("\"reset\":true,\"instances\":[]"));
            fleet.inject(Fault.Kind.DISCOVERY_HEAL, 0);
            String recovered = nextUpdate(lines);
            assertTrue(recovered.contains("c-0") && !recovered.contains("c-1"), recovered);
        }
        await(() -> sink.records().membershipUpdates().stream()
                .anyMatch(t -> t.stage() == MembershipUpdate.Stage.DRAINING
                        && t.node().equals("c-1")
                        && t.proxy().equals("n0")));
    }

    /** Returns the next line of a watch that is not blank. */
    private static String nextUpdate(BufferedReader lines) throws IOException {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.startsWith("{")) {
                return line;
            }
        }
        throw new IOException("the watch has ended");
    }

    @Test
    void discoveryThatWasDownServesAgainAtItsAddress() throws Exception {
        start("");
        String url = "http://" + fleet.discovery("n0") + "/catalog/members";
        HttpRequest call = HttpRequest.newBuilder(URI.create(url)).build();
        assertEquals(
                200, client.send(call, HttpResponse.BodyHandlers.ofString()).statusCode());
        fleet.inject(Fault.Kind.DISCOVERY_DOWN, 0);
        assertThrows(IOException.class, () -> client.send(call, HttpResponse.BodyHandlers.ofString()));
        fleet.inject(Fault.Kind.DISCOVERY_HEAL, 0);
        assertTrue(
                client.send(call, HttpResponse.BodyHandlers.ofString()).body().contains("\"ledger\""));
    }

    @Test
    void controlServerInjectsFaultBetweenTwoRequests() throws Exception {
        start("");
        try (FleetControl control = FleetControl.start(fleet, "127.0.0.1", 0)) {
            assertEquals(404, send("c-0", "GET", "/read/k1").statusCode());
            assertEquals("200 done", post(control, "do = \"drain\"\nnode = \"c-0\""));
            assertEquals(503, send("c-0", "GET", "/read/k1").statusCode());
            assertTrue(post(control, "do = \"drain\"\nnode = \"c-7\"").startsWith("400 fault: at.node "));
            assertTrue(
                    post(control, "do = \"drain\"\nnode = \"c-1\"\nnow = true").contains("at.now"));
            assertTrue(post(control, "do = ").startsWith("400 fault: not TOML"));
            String state = client.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + control.port() + "/state"))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .body();
            assertEquals(3, state.lines().count());
            assertTrue(state.contains("id=c-0 zone=a mode=UP+DRAINING"), state);
        }
    }

    private String post(FleetControl control, String fault) throws Exception {
        HttpResponse<String> answer = client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + control.port() + "/faults"))
                        .POST(HttpRequest.BodyPublishers.ofString(fault))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        return answer.statusCode() + " " + answer.body().strip();
    }

    @Test
    void startFailureNamesPortInUse() throws Exception {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            FleetPlan plan = plan(PLAN + "[[proxy]]\nname = \"n0\"\ndiscovery_port = " + occupied.getLocalPort());
            IOException failure = assertThrows(IOException.class, () -> Fleet.start(plan, sink));
            assertTrue(
                    failure.getMessage().contains("n0")
                            && failure.getMessage().contains(String.valueOf(occupied.getLocalPort())),
                    failure.getMessage());
        }
    }

    @Test
    void invalidFileIsRejectedNamingKey() {
        assertRejected("[[at]]\ns = 1\ndo = \"slow\"\nnode = \"c-0\"\ntimes = 5\nfor = 3", "at[0].for");
        assertRejected("[[at]]\ns = 1\ndo = \"slow\"\nnode = \"c-0\"", "at[0].times");
        assertRejected("[[at]]\ns = 1\ndo = \"slow\"\nnode = \"c-9\"\ntimes = 2", "c-9");
        assertRejected("[[at]]\ns = 1\ndo = \"hung\"", "at[0].node");
        assertRejected("[[at]]\ns = 1\ndo = \"hung\"\nzone = \"mars\"", "mars");
        assertRejected("[[at]]\ns = 1\ndo = \"explode\"\nnode = \"c-0\"", "at[0].do");
        assertRejected("[[at]]\ns = 1\ndo = \"heal\"\nnode = \"c-0\"\nfor_s = 2", "at[0].for_s");
        assertRejected("[fleet]\nseeds = 3", "fleet.seeds");
        assertRejected("[[nodes]]\nkind = \"none\"\ncount = 1", "nodes[1].kind");
    }

    private static void assertRejected(String extraToml, String expectedPart) {
        String message = assertThrows(SettingsException.class, () -> plan(PLAN + extraToml), extraToml)
                .getMessage();
        assertTrue(
                message.startsWith("fleet.toml: ")
                        && message.contains(expectedPart)
                        && message.lines().count() == 1,
                message);
    }

    @Test
    void scriptTargetsAreDrawnFromSeedAndFaultsEndAfterTheirTime() throws Exception {
        String script = "[[at]]\ns = 2\ndo = \"slow\"\npart = 0.5\ntimes = 4\nfor_s = 3\n"
                + "[[at]]\ns = 1\ndo = \"release\"\nzone = \"a\"\nevery_s = 2\ndrain_s = 0.5\nfor_s = 0.25\n";
        List<Fault.Scheduled> faults = plan(PLAN + script).faults();
        assertEquals(faults, plan(PLAN + script).faults());
        assertEquals(
                List.of("1000 drain c-0", "1500 leave c-0", "1750 start c-0"),
                faults.stream()
                        .filter(f -> f.fault().targets().contains("c-0")
                                && f.fault().kind() != Fault.Kind.SLOW
                                && f.fault().kind() != Fault.Kind.HEAL)
                        .map(f -> f.atNanos() / 1_000_000 + " " + f.fault())
                        .toList());
        assertEquals(
                5_000_000_000L,
                faults.stream()
                        .filter(f -> f.fault().kind() == Fault.Kind.HEAL)
                        .findFirst()
                        .orElseThrow()
                        .atNanos());
        assertFalse(faults.stream().anyMatch(f -> f.fault().targets().size() > 1));
    }

    private Socket connect(String node, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(fleet.node(node, "n0"), timeoutMs);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
