package burlarch.standins.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import burlarch.audit.MemorySink;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that faults which close a node's listeners and bind their addresses again have taken effect when they
 * return. Guards against binding too early: a socket is released only after its channel's close completes, and a bind
 * before that fails. Then a vanished node refused connections, and a healed or restarted node did not listen.
 */
class NodeListenersTest {
    private static final int ROUNDS = 300;
    private static final int NO_CONNECTION_TIMEOUT_MS = 10;
    private static final int CONNECT_TIMEOUT_MS = 5000;
    private static final String PLAN =
            """
            [[kind]]
            name = "fast"
            cold_ms = 1
            [[nodes]]
            kind = "fast"
            count = 1
            zone = "a"
            [[class]]
            name = "read"
            work_ms = 1
            """;

    private final List<String> failedFaults = new ArrayList<>();
    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = Fleet.start(plan(), new MemorySink(10_000));
        fleet.onFault(text -> {
            if (text.contains("failed")) {
                failedFaults.add(text);
            }
        });
    }

    private static FleetPlan plan() throws SettingsException {
        return FleetPlan.read(SettingsFile.parse("fleet.toml", PLAN));
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void connect(int timeoutMs) throws IOException {
        InetSocketAddress address = fleet.node("c-0", "n0");
        try (Socket socket = new Socket()) {
            socket.connect(address, timeoutMs);
        }
    }

    @Test
    void vanishedNodeNeverAcceptsAndHealedNodeAlwaysListens() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            fleet.inject(Fault.Kind.VANISH, 0, "c-0");
            assertThrows(SocketTimeoutException.class, () -> connect(NO_CONNECTION_TIMEOUT_MS), "round " + round);
            fleet.inject(Fault.Kind.HEAL, 0, "c-0");
            connect(CONNECT_TIMEOUT_MS);
        }
        assertEquals(List.of(), failedFaults);
    }

    @Test
    void restartedNodeAlwaysListens() throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            fleet.inject(Fault.Kind.START, 0, "c-0");
            connect(CONNECT_TIMEOUT_MS);
        }
        assertEquals(List.of(), failedFaults);
    }
}
