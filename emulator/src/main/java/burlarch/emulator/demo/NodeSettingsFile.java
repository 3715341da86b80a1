package burlarch.emulator.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Writer of the settings files of router and controller processes. */
final class NodeSettingsFile {
    /** How long a draining instance may still receive requests; a bound in the settings. */
    static final long DRAIN_TIMEOUT_MILLIS = 2_000;
    /** Interval between the heartbeats of an instance. */
    static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    /** Time within which routers must have a configuration in force; a bound in the settings. */
    static final long CONFIGURATION_APPLY_MILLIS = 2_000;
    /** Time within which requests must be executed with newly announced weights; a bound in the settings. */
    static final long WEIGHTS_APPLY_MILLIS = 8_000;

    private NodeSettingsFile() {}

    static Path controller(Path directory, String name, String ip, List<String> seeds, boolean bootstrap)
            throws IOException {
        Path dataDirectory = Files.createDirectories(directory.resolve(name + "-data"));
        return write(
                directory,
                name,
                ip,
                seeds,
                bootstrap,
                "core",
                "control_plane",
                "data_dir = \"" + dataDirectory + "\"\n",
                "control = \"" + ip + ":" + LoopbackNetwork.CONTROL_PORT + "\"\n");
    }

    static Path router(Path directory, String name, String ip, List<String> seeds) throws IOException {
        return write(
                directory,
                name,
                ip,
                seeds,
                true,
                "edge",
                "edge",
                "",
                "front = \"" + ip + ":" + LoopbackNetwork.FRONT_PORT + "\"\n" + "readiness = \"" + ip + ":"
                        + LoopbackNetwork.READINESS_PORT + "\"\n");
    }

    private static Path write(
            Path directory,
            String name,
            String ip,
            List<String> seeds,
            boolean bootstrap,
            String machineClass,
            String serves,
            String dataLine,
            String listenLines)
            throws IOException {
        String seedList = seeds.stream().map(seed -> "\"" + seed + "\"").collect(Collectors.joining(", "));
        String content = "node_name = \"" + name + "\"\nmachine_class = \"" + machineClass + "\"\nserves = [\""
                + serves + "\"]\nip = \"" + ip + "\"\nzone = \"hall\"\nregion = \"home\"\nport_range = ["
                + LoopbackNetwork.FIRST_NODE_PORT + ", " + LoopbackNetwork.LAST_NODE_PORT + "]\nseeds = ["
                + seedList + "]\nbootstrap = " + bootstrap + "\ncounts_for_quorum = " + machineClass.equals("core")
                + "\nheartbeat_ms = " + HEARTBEAT_INTERVAL_MILLIS + "\n" + dataLine
                + "[zones]\nhall = \"home\"\n[listen]\n" + listenLines
                + "[limits]\nmemory_mb = 256\nmax_fds = 1024\n[fault_tolerance]\nmachines = 1\n[bounds]\n"
                + "drain_timeout_ms = " + DRAIN_TIMEOUT_MILLIS + "\nconfig_apply_ms = " + CONFIGURATION_APPLY_MILLIS
                + "\nversion_ms = " + WEIGHTS_APPLY_MILLIS + "\nfencing = true\nretry_budget = 0.2\n"
                + "budget_slack = 50\n";
        return Files.writeString(directory.resolve(name + ".toml"), content);
    }
}
