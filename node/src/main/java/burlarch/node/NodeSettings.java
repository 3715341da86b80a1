package burlarch.node;

import burlarch.settings.SettingsException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The settings of a process, read from its file. Immutable. Texts that the file does not contain are empty.
 *
 * @param serves what is served to the outside: {@code edge}, {@code control_plane}
 * @param ip the machine's address
 * @param portRange free on every machine for messages between nodes
 * @param seeds control addresses of up to three machines, IP:PORT
 * @param bootstrap whether the whole fleet starts for the first time, with empty disks
 * @param countsForQuorum whether this machine is one of those that {@code faultTolerance} counts
 * @param dataDir folder of the disk; null if the machine has none
 * @param heartbeatNanos time between the announcements of an instance
 * @param contracts names of the contracts that are in force
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
    /** Value of {@code serves}: clients' requests. */
    public static final String SERVES_CLIENTS = "edge";
    /** Value of {@code serves}: calls of operators and instances. */
    public static final String SERVES_CONTROL = "control_plane";
    /** The environment variable that names the file. */
    public static final String FILE_VARIABLE = "BURLARCH_NODE_FILE";

    /** Ports from the first to the last, both included. */
    public record PortRange(int first, int last) {}

    /** The addresses that the process serves at; each null if it does not serve there. */
    public record Listen(InetSocketAddress front, InetSocketAddress readiness, InetSocketAddress control) {}

    /**
     * The resources of the machine.
     *
     * @param cpuShare of one core
     * @param cpuCores how much faster than usual that core is
     * @param memoryMegabytes a process that uses more is killed
     * @param maxDescriptors of one process
     * @param linkMegabits per second
     * @param diskMegabytes 0 if there is no disk
     */
    public record Limits(
            double cpuShare,
            double cpuCores,
            int memoryMegabytes,
            int maxDescriptors,
            double linkMegabits,
            int diskMegabytes) {}

    /** How many counted machines, zones or regions may be lost at the same time while all promises hold. */
    public record FaultTolerance(int machines, int zones, int regions) {}

    /**
     * Reads and checks a file. Unknown fields are ignored.
     *
     * @throws SettingsException with all mistakes, one per line
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

    /**
     * Checks that the process is to serve what its program serves.
     *
     * @param served {@link #SERVES_CLIENTS} or {@link #SERVES_CONTROL}
     * @throws SettingsException if the settings are those of another program
     */
    public void requireServed(String served) throws SettingsException {
        if (!serves.contains(served)) {
            throw new SettingsException("serves must contain \"" + served + "\" for this program, it is " + serves);
        }
    }

    /** Whether that contract is in force. */
    public boolean hasContract(String name) {
        return contracts.contains(name);
    }
}
