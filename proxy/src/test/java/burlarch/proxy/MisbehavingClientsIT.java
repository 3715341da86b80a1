package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import burlarch.testing.client.ClientCrowd;
import burlarch.testing.client.Misbehavior;
import burlarch.testing.client.ProcessResources;
import burlarch.testing.client.RequestTemplate;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A crowd of misbehaving clients at the proxy as the platform starts it: the process does not end or hang, stays within
 * its memory and descriptors, logs no error of the virtual machine, and answers ordinary requests while the crowd keeps
 * its connections and after it is gone.
 */
@Timeout(300)
class MisbehavingClientsIT {
    private static final long SEED = 69;
    /** The platform's limits on the scored days. */
    private static final long MAX_MEMORY_BYTES = 192_000_000;

    private static final int MAX_DESCRIPTORS = 1024;
    private static final int CROWD = 400;
    private static final int SILENT_CROWD = 1_200;
    private static final int MAX_HEAD_BYTES = 8_192;
    private static final int LONG_ID_CHARACTERS = 7_000;
    private static final long SERVICE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final RequestTemplate REQUEST = new RequestTemplate(
            "/look/key", number -> "Host: x\r\nX-Request-ID: m-" + number + ordinaryLines(), MAX_HEAD_BYTES);
    private static final RequestTemplate REQUEST_WITH_LONG_ID = new RequestTemplate(
            "/look/key",
            number -> "Host: x\r\nX-Request-ID: " + "i".repeat(LONG_ID_CHARACTERS) + number + ordinaryLines(),
            MAX_HEAD_BYTES);

    @TempDir
    static Path folder;

    private static FakeServer cache;
    /** Null if there is none or the last test failed. */
    private static ProxyProcess proxy;

    private static boolean lastTestPassed;

    private static String ordinaryLines() {
        return "\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 4000\r\n";
    }

    @BeforeAll
    static void startCache() {
        cache = new FakeServer();
        cache.answerWith("200 OK", "value");
    }

    @BeforeEach
    void startProxyUnlessLastTestPassed() throws IOException {
        if (!lastTestPassed) {
            stopProxy();
            proxy = ProxyProcess.serveAsDeployed(
                    folder,
                    List.of(
                            Fixture.entry("c-1", cache, "cache", "SERVING"),
                            Fixture.entry("o-1", cache, "origin", "SERVING")),
                    MAX_DESCRIPTORS);
        }
        lastTestPassed = false;
    }

    private static void stopProxy() {
        if (proxy != null) {
            proxy.close();
            proxy = null;
        }
    }

    @AfterAll
    static void stop() {
        stopProxy();
        cache.close();
    }

    @ParameterizedTest
    @EnumSource
    void proxyOutlivesMisbehavingClients(Misbehavior misbehavior) throws Exception {
        assertOutlives(misbehavior, REQUEST);
    }

    /** Each id is remembered for some time after its request, so that it is not used twice. */
    @ParameterizedTest
    @EnumSource(names = "PIPELINED_ORDINARY")
    void proxyOutlivesLongRequestIds(Misbehavior misbehavior) throws Exception {
        assertOutlives(misbehavior, REQUEST_WITH_LONG_ID);
    }

    private static void assertOutlives(Misbehavior misbehavior, RequestTemplate template)
            throws IOException, InterruptedException {
        int connections = misbehavior == Misbehavior.SILENCE ? SILENT_CROWD : CROWD;
        try (ClientCrowd crowd = ClientCrowd.open(proxy.address(), connections, misbehavior, template, SEED)) {
            assertWithinBounds();
            assertOrdinaryRequestIsServed();
            assertWithinBounds();
        }
        assertOrdinaryRequestIsServed();
        assertWithinBounds();
        lastTestPassed = true;
    }

    private static void assertWithinBounds() throws IOException {
        assertTrue(proxy.isAlive(), "the proxy runs");
        long memoryBytes = ProcessResources.peakMemoryBytes(proxy.pid());
        assertTrue(memoryBytes <= MAX_MEMORY_BYTES, "bytes of memory: " + memoryBytes);
        long descriptors = ProcessResources.openDescriptors(proxy.pid());
        assertTrue(descriptors <= MAX_DESCRIPTORS, "descriptors: " + descriptors);
        while (proxy.error().ready()) {
            String line = proxy.error().readLine();
            assertTrue(!line.contains("OutOfMemoryError"), line);
        }
    }

    /** An ordinary request is answered with success if it is repeated as clients do. */
    private static void assertOrdinaryRequestIsServed() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + SERVICE_TIMEOUT_NANOS;
        String last = "no attempt";
        for (int number = -1; System.nanoTime() - deadlineNanos < 0; number--) {
            last = attempt(number);
            if (last.startsWith("HTTP/1.1 200 ")) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        assertEquals("HTTP/1.1 200 OK", last, "outcome of an ordinary request");
    }

    /** Returns the first bytes of the response, or the failure. */
    private static String attempt(int number) {
        InetSocketAddress address = proxy.address();
        try (Socket socket = new Socket()) {
            socket.connect(address, READ_TIMEOUT_MILLIS);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String id = Long.toString(System.nanoTime()) + number;
            String request = "GET /look/key HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + ordinaryLines() + "\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new String(
                    socket.getInputStream().readNBytes("HTTP/1.1 200 OK".length()), StandardCharsets.ISO_8859_1);
        } catch (IOException noResponse) {
            return noResponse.toString();
        }
    }
}
