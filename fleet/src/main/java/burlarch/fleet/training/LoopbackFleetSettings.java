package burlarch.fleet.training;

import burlarch.node.NodeSettings;
import burlarch.settings.SettingsException;
import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/**
 * Generator of settings files, loopback addresses and data folders for the programs of one training run, in a temporary
 * folder.
 */
final class LoopbackFleetSettings {
    /**
     * Prefix of the loopback addresses. Each program has its own address, because the node port is the same on all
     * machines.
     */
    private static final String LOOPBACK_PREFIX = "127.0.0.";

    static final int CONTROLLERS = 2;
    private static final int ROUTER = CONTROLLERS + 1;
    private static final int MIN_PORT = 20_000;
    private static final int PORT_BOUND = 32_000;
    private static final int MAX_PORT_ATTEMPTS = 100;

    private final Path folder;
    private final int nodePort;
    private final int controlPort;
    private final int frontPort;
    private final int readinessPort;

    LoopbackFleetSettings() throws IOException {
        folder = Files.createTempDirectory("burlarch-training");
        nodePort = freePort();
        controlPort = freePort();
        frontPort = freePort();
        readinessPort = freePort();
    }

    /** Returns a port that is free on all addresses, below the range that the system uses for outgoing connections. */
    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, PORT_BOUND);
            try (ServerSocket free = new ServerSocket(port, 1)) {
                return free.getLocalPort();
            } catch (BindException portInUse) {
                // Another process uses the port: the next attempt draws another one.
            }
        }
        throw new IOException("training run: no port is free");
    }

    /** Writes and loads the settings of a controller, numbered from 1, with a data folder. */
    NodeSettings controller(int number) throws IOException, SettingsException {
        Path disk = Files.createDirectories(folder.resolve("disk-" + number));
        return load(
                "controller-" + number,
                number,
                "serves = [\"control_plane\"]\ncounts_for_quorum = true\n" + "data_dir = \"" + disk + "\"\n",
                "control = \"" + controlAddress(number) + "\"\n");
    }

    /** Writes and loads the settings of the router. */
    NodeSettings router() throws IOException, SettingsException {
        return load(
                "router",
                ROUTER,
                "serves = [\"edge\"]\n",
                "front = \"" + LOOPBACK_PREFIX + ROUTER + ":" + frontPort + "\"\nreadiness = \"" + LOOPBACK_PREFIX
                        + ROUTER + ":" + readinessPort + "\"\n");
    }

    private NodeSettings load(String name, int number, String roleSettings, String listenSettings)
            throws IOException, SettingsException {
        Path file = Files.writeString(
                folder.resolve(name + ".toml"),
                """
                node_name = "%s"
                role = "any"
                ip = "%s"
                zone = "a"
                region = "r"
                port_range = [%d,%d]
                seeds = ["%s","%s"]
                bootstrap = true
                heartbeat_ms = 1000
                contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine",\
                "tenants"]
                %s
                [zones]
                a = "r"
                [listen]
                %s
                [limits]
                memory_mb = 400
                [fault_tolerance]
                machines = 0
                [bounds]
                grace_s = 1
                fencing = true
                lease_ms = 3000
                """
                        .formatted(
                                name,
                                LOOPBACK_PREFIX + number,
                                nodePort,
                                nodePort,
                                controlAddress(1),
                                controlAddress(2),
                                roleSettings,
                                listenSettings));
        return NodeSettings.load(file);
    }

    private String controlAddress(int number) {
        return LOOPBACK_PREFIX + number + ":" + controlPort;
    }

    /** Deletes the temporary folder with all that the programs wrote. */
    void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
