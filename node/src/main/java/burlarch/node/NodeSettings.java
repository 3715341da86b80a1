package burlarch.node;

import burlarch.settings.SettingsException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What a process is told at its start. Texts that the file does not have are empty.
 *
 * @param serves what is served to the outside: {@code edge}, {@code control_plane}
 * @param ip the machine's address
 * @param portRange free on every machine for messages between nodes
 * @param seeds control addresses of up to three machines, IP:PORT
 * @param bootstrap whether the whole system starts for the first time, with empty disks
 * @param countsForQuorum whether this machine is among those that {@code faultTolerance} speaks of
 * @param dataDir folder of the disk; null where the machine has none
 * @param heartbeatNanos between the announcements of an instance
 * @param contracts names of the parts of the rules that are in force
 * @param zones the region of each zone
 */
public record NodeSettings(
        String nodeName,
        String role,
        String machineClass,
        List<String> serves,
        String ip,
        String zone,
        String region,
        PortRange portRange,
        List<String> seeds,
        boolean bootstrap,
        boolean countsForQuorum,
        Path dataDir,
        String discovery,
        String entry,
        long heartbeatNanos,
        List<String> contracts,
        Map<String, String> zones,
        Listen listen,
        Limits limits,
        FaultTolerance faultTolerance,
        NodeBounds bounds) {
    /** The environment variable that names the file. */
    public static final String FILE_VARIABLE = "BURLARCH_NODE_FILE";

    /** Ports from the first to the last, both included. */
    public record PortRange(int first, int last) {}

    /** Where the role serves; each null where it does not. */
    public record Listen(InetSocketAddress front, InetSocketAddress readiness, InetSocketAddress control) {}

    /**
     * What the machine has.
     *
     * @param cpuShare of one core
     * @param cpuCores how much faster than usual that core is
     * @param memoryMegabytes a process that takes more is killed
     * @param maxDescriptors of one process
     * @param linkMegabits in a second
     * @param diskMegabytes 0 without a disk
     */
    public record Limits(
            double cpuShare,
            double cpuCores,
            int memoryMegabytes,
            int maxDescriptors,
            double linkMegabits,
            int diskMegabytes) {}

    /** How many machines that count, or zones, or regions may be lost at once with all rules kept. */
    public record FaultTolerance(int machines, int zones, int regions) {}

    /**
     * Reads and checks a file. Fields that are not known are passed over.
     *
     * @throws SettingsException with all mistakes, one a line
     */
    public static NodeSettings load(Path file) throws SettingsException {
        return NodeSettingsReader.load(file);
    }

    /** Reads the file that {@link #FILE_VARIABLE} names. */
    public static NodeSettings fromEnvironment() throws SettingsException {
        String file = System.getenv(FILE_VARIABLE);
        if (file == null || file.isBlank()) {
            throw new SettingsException(FILE_VARIABLE + " is not set: it names the file of settings");
        }
        return load(Path.of(file));
    }

    /** Whether that part of the rules is in force. */
    public boolean hasContract(String name) {
        return contracts.contains(name);
    }
}
