package burlarch.emulator.demo;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.testing.client.ClientCrowd;
import burlarch.testing.client.Misbehavior;
import burlarch.testing.client.OddJson;
import burlarch.testing.client.RequestTemplate;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A crowd of misbehaving clients at each port of the fleet: no process ends or hangs, each stays within its memory and
 * descriptors, and ordinary requests are answered while the crowd keeps its connections and after it is gone.
 */
@Timeout(300)
class MisbehavingClientsIT {
    private static final long SEED = 69;
    private static final int CROWD = 400;
    /** More than the descriptors that the settings file grants a process. */
    private static final int SILENT_CROWD = 1_200;

    /** Limit of the control API for a configuration. */
    private static final int MAX_DOCUMENT_BYTES = 8 << 20;

    private static final int DOCUMENT_CROWD = 4;
    private static final int ANNOUNCING_CROWD = 50;
    private static final int ANNOUNCEMENTS_PER_CONNECTION = 100;

    /** Null if there is none or the last test failed. */
    private static MisbehavingClientsFleet fleet;

    private static boolean lastTestPassed;

    @BeforeEach
    void startFleetUnlessLastTestPassed() throws Exception {
        if (!lastTestPassed) {
            stopFleet();
            fleet = MisbehavingClientsFleet.start();
        }
        lastTestPassed = false;
    }

    @AfterAll
    static void stopFleet() throws IOException {
        if (fleet != null) {
            fleet.close();
            fleet = null;
        }
    }

    @ParameterizedTest
    @EnumSource
    void routerOutlivesMisbehavingClients(Misbehavior misbehavior) throws Exception {
        assertOutlives(fleet.front(), fleet.frontRequest(), misbehavior);
    }

    @ParameterizedTest
    @EnumSource
    void routerOutlivesMisbehavingReadinessChecks(Misbehavior misbehavior) throws Exception {
        assertOutlives(fleet.readiness(), fleet.readinessRequest(), misbehavior);
    }

    @ParameterizedTest
    @EnumSource
    void controllerOutlivesMisbehavingCallers(Misbehavior misbehavior) throws Exception {
        assertOutlives(fleet.control(), fleet.controlRequest(), misbehavior);
    }

    /** Each caller sends a long document that is odd but within the limit. */
    @ParameterizedTest
    @EnumSource
    void controllerOutlivesOddDocuments(OddJson document) throws Exception {
        byte[] body = document.bytes(MAX_DOCUMENT_BYTES);
        String method = document == OddJson.EMPTY_ITEMS_IN_A_PATCH ? "PATCH" : "PUT";
        String head = method + " /burlarch/config HTTP/1.1\r\nHost: controller\r\nIf-Match: 0\r\nContent-Length: "
                + body.length + "\r\n\r\n";
        assertOutlives(fleet.control(), DOCUMENT_CROWD, number -> concat(head, body));
    }

    /** Long bodies that never end must leave room for the heartbeats of instances. */
    @Test
    void controllerOutlivesLongBodiesWithoutEnd() throws Exception {
        byte[] body = new byte[MAX_DOCUMENT_BYTES - 1];
        Arrays.fill(body, (byte) ' ');
        String head = "PUT /burlarch/config HTTP/1.1\r\nHost: controller\r\nContent-Length: " + MAX_DOCUMENT_BYTES
                + "\r\n\r\n";
        assertOutlives(fleet.control(), DOCUMENT_CROWD, number -> concat(head, body));
    }

    /** The announcements are kept until the instances expire. */
    @Test
    void controllerOutlivesManyInstancesWithLongNames() throws Exception {
        assertOutlives(fleet.control(), ANNOUNCING_CROWD, MisbehavingClientsIT::announcements);
    }

    private static byte[] announcements(int number) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < ANNOUNCEMENTS_PER_CONNECTION; i++) {
            int instance = number * ANNOUNCEMENTS_PER_CONNECTION + i;
            String models = IntStream.range(0, 64)
                    .mapToObj(model -> "{\"name\":\"" + "m".repeat(250) + model + "\",\"config_version\":1}")
                    .collect(Collectors.joining(","));
            String body = "{\"service\":\"odd\",\"address\":\"127.0.0.1:" + instance + "\",\"state\":\"ready\","
                    + "\"sequence\":1,\"models\":[" + models + "]}";
            requests.append("PUT /burlarch/instances/odd-" + instance
                    + " HTTP/1.1\r\nHost: controller\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
        return requests.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] concat(String head, byte[] body) {
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }

    private static void assertOutlives(InetSocketAddress address, RequestTemplate template, Misbehavior misbehavior)
            throws IOException, InterruptedException {
        int connections = misbehavior == Misbehavior.SILENCE ? SILENT_CROWD : CROWD;
        assertOutlives(address, connections, number -> misbehavior.bytes(template, number, SEED));
    }

    private static void assertOutlives(
            InetSocketAddress address, int connections, IntFunction<byte[]> bytesOfConnection)
            throws IOException, InterruptedException {
        try (ClientCrowd crowd = ClientCrowd.open(address, connections, bytesOfConnection)) {
            assertThat(crowd.size()).isPositive();
            fleet.assertProcessesWithinBounds();
            assertOrdinaryCallersAreServed();
            fleet.assertProcessesWithinBounds();
        }
        assertOrdinaryCallersAreServed();
        fleet.assertProcessesWithinBounds();
        lastTestPassed = true;
    }

    private static void assertOrdinaryCallersAreServed() throws InterruptedException {
        fleet.assertRequestIsServed();
        fleet.assertReady();
        fleet.assertConfigurationIsRead();
        fleet.assertHeartbeatIsAcknowledged();
    }
}
