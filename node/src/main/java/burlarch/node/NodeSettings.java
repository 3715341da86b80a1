package burlarch.node;

import burlarch.settings.SettingsException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Settings of a process, read from its settings file. Immutable. A string that the file does not contain is empty.
 *
 * @param serves services to clients and operators: {@link #SERVES_CLIENTS}, {@link #SERVES_CONTROL}
 * @param ip IP address of the machine
 * @param portRange ports that are free on every machine, for messages between nodes
 * @param seeds control addresses of up to three machines, each in the form {@code IP:PORT}
 * @param bootstrap whether the whole fleet starts for the first time, with empty disks
 * @param countsForQuorum whether this machine is one of those that {@code faultTolerance} counts
 * @param dataDir directory on the disk of the machine; null if it has no disk
 * @param heartbeatNanos time between the announcements of an instance
 * @param contracts names of the contracts that are in force
 * @param zones region by zone
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
    /** Value of {@code serves}: requests of clients. */
    public static final String SERVES_CLIENTS = "edge";
    /** Value of {@code serves}: calls of operators and instances. */
    public static final String SERVES_CONTROL = "control_plane";
    /** Environment variable with the path of the settings file. */
    public static final String FILE_VARIABLE = "BURLARCH_NODE_FILE";

    /** Range of ports; {@code first} and {@code last} are inclusive. */
    public record PortRange(int first, int last) {}

    /** Addresses that the process listens on; each is null if it does not listen there. */
    public record Listen(InetSocketAddress front, InetSocketAddress readiness, InetSocketAddress control) {}

    /**
     * Resource limits of the machine.
     *
     * @param cpuShare share of one core, 1 for a whole core
     * @param cpuCores speed of that core relative to a standard core
     * @param memoryMegabytes memory limit; a process that exceeds it is killed
     * @param maxDescriptors most open file descriptors of one process
     * @param linkMegabits rate of the network link in megabits per second
     * @param diskMegabytes size of the disk; 0 if there is none
     */
    public record Limits(
            double cpuShare,
            double cpuCores,
            int memoryMegabytes,
            int maxDescriptors,
            double linkMegabits,
            int diskMegabytes) {}

    /** Numbers of counted machines, zones or regions that may fail at the same time with all guarantees kept. */
    public record FaultTolerance(int machines, int zones, int regions) {}

    /**
     * Reads and validates a settings file. Unknown fields are ignored.
     *
     * @throws SettingsException with all errors of the file, one per line
     */
    public static NodeSettings load(Path file) throws SettingsException {
        return NodeSettingsReader.load(file);
    }

    /**
     * Reads the settings file that {@link #FILE_VARIABLE} names.
     *
     * @throws SettingsException if the variable is not set or the file is invalid
     */
    public static NodeSettings fromEnvironment() throws SettingsException {
        String file = System.getenv(FILE_VARIABLE);
        if (file == null || file.isBlank()) {
            throw new SettingsException(FILE_VARIABLE + " is not set: it names the file of settings");
        }
        return load(Path.of(file));
    }

    /**
     * Checks that the settings assign a service to this process.
     *
     * @param service {@link #SERVES_CLIENTS} or {@link #SERVES_CONTROL}
     * @throws SettingsException if {@code serves} does not contain the service: the settings are for another program
     */
    public void requireServed(String service) throws SettingsException {
        if (!serves.contains(service)) {
            throw new SettingsException("serves must contain \"" + service + "\" for this program, it is " + serves);
        }
    }

    /** Returns whether the contract with this name is in force. */
    public boolean hasContract(String name) {
        return contracts.contains(name);
    }
}
