package burlarch.emulator.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Writes the settings file of a router or controller process. */
final class NodeSettingsFile {
    /** How long a draining instance may still receive requests; written as a bound of the settings. */
    static final long DRAIN_MILLIS = 2_000;
    /** How often instances announce themselves. */
    static final long HEARTBEAT_MILLIS = 500;
    /** Within which routers must have a configuration in force. */
    static final long CONFIGURATION_MILLIS = 2_000;
    /** Within which requests must be executed with newly announced weights. */
    static final long WEIGHTS_MILLIS = 8_000;

    private NodeSettingsFile() {}

    static Path controller(Path folder, String name, String ip, List<String> seeds, boolean first) throws IOException {
        Path data = Files.createDirectories(folder.resolve(name + "-data"));
        return write(
                folder,
                name,
                ip,
                seeds,
                first,
                "core",
                "control_plane",
                "data_dir = \"" + data + "\"\n",
                "control = \"" + ip + ":" + LoopbackNetwork.CONTROL + "\"\n");
    }

    static Path router(Path folder, String name, String ip, List<String> seeds) throws IOException {
        return write(
                folder,
                name,
                ip,
                seeds,
                true,
                "edge",
                "edge",
                "",
                "front = \"" + ip + ":" + LoopbackNetwork.FRONT + "\"\n" + "readiness = \"" + ip + ":"
                        + LoopbackNetwork.READINESS + "\"\n");
    }

    private static Path write(
            Path folder,
            String name,
            String ip,
            List<String> seeds,
            boolean first,
            String machineClass,
            String serves,
            String data,
            String listen)
            throws IOException {
        String list = seeds.stream().map(seed -> "\"" + seed + "\"").collect(Collectors.joining(", "));
        String text = "node_name = \"" + name + "\"\nmachine_class = \"" + machineClass + "\"\nserves = [\""
                + serves + "\"]\nip = \"" + ip + "\"\nzone = \"hall\"\nregion = \"home\"\nport_range = ["
                + LoopbackNetwork.FIRST_NODE_PORT + ", " + LoopbackNetwork.LAST_NODE_PORT + "]\nseeds = ["
                + list + "]\nbootstrap = " + first + "\ncounts_for_quorum = " + machineClass.equals("core")
                + "\nheartbeat_ms = " + HEARTBEAT_MILLIS + "\n" + data
                + "[zones]\nhall = \"home\"\n[listen]\n" + listen
                + "[limits]\nmemory_mb = 256\nmax_fds = 1024\n[fault_tolerance]\nmachines = 1\n[bounds]\n"
                + "drain_timeout_ms = " + DRAIN_MILLIS + "\nconfig_apply_ms = " + CONFIGURATION_MILLIS
                + "\nversion_ms = " + WEIGHTS_MILLIS + "\nfencing = true\nretry_budget = 0.2\n"
                + "budget_slack = 50\n";
        return Files.writeString(folder.resolve(name + ".toml"), text);
    }
}
