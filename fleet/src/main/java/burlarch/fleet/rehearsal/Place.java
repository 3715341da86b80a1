package burlarch.fleet.rehearsal;

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

/** Addresses of loopback and a folder, where the rehearsal's processes are set up. */
final class Place {
    /** Loopback has an address for each machine, as the port of messages is alike on all. */
    private static final String NETWORK = "127.0.0.";

    static final int CONTROLLERS = 2;
    private static final int ROUTER = CONTROLLERS + 1;
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final int ATTEMPTS = 100;

    private final Path folder;
    private final int nodePort;
    private final int controlPort;
    private final int frontPort;
    private final int readinessPort;

    Place() throws IOException {
        folder = Files.createTempDirectory("burlarch-rehearsal");
        nodePort = freePort();
        controlPort = freePort();
        frontPort = freePort();
        readinessPort = freePort();
    }

    /** A port that is free at all addresses, below those that the system gives to outgoing connections. */
    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket free = new ServerSocket(port, 1)) {
                return free.getLocalPort();
            } catch (BindException taken) {
                continue;
            }
        }
        throw new IOException("rehearsal: no port is free");
    }

    /** Settings of a controller, numbered from 1, with a disk. */
    NodeSettings controller(int number) throws IOException, SettingsException {
        Path disk = Files.createDirectories(folder.resolve("disk-" + number));
        return load(
                "controller-" + number,
                number,
                "serves = [\"control_plane\"]\ncounts_for_quorum = true\n" + "data_dir = \"" + disk + "\"\n",
                "control = \"" + control(number) + "\"\n");
    }

    /** Settings of the router. */
    NodeSettings router() throws IOException, SettingsException {
        return load(
                "router",
                ROUTER,
                "serves = [\"edge\"]\n",
                "front = \"" + NETWORK + ROUTER + ":" + frontPort + "\"\nreadiness = \"" + NETWORK + ROUTER + ":"
                        + readinessPort + "\"\n");
    }

    private NodeSettings load(String name, int number, String more, String listen)
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
                        .formatted(name, NETWORK + number, nodePort, nodePort, control(1), control(2), more, listen));
        return NodeSettings.load(file);
    }

    private String control(int number) {
        return NETWORK + number + ":" + controlPort;
    }

    /** Removes the folder with what the processes wrote. */
    void remove() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
