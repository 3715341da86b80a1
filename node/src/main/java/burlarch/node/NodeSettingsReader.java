package burlarch.node;

import burlarch.node.NodeSettings.FaultTolerance;
import burlarch.node.NodeSettings.Limits;
import burlarch.node.NodeSettings.Listen;
import burlarch.node.NodeSettings.PortRange;
import burlarch.settings.LiteralAddresses;
import burlarch.settings.SettingsErrorCollector;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import burlarch.settings.SettingsSection;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Parser and validator of the settings file of a process; reports all errors of the file together. */
final class NodeSettingsReader {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_PORT = 65_535;
    private static final int MIN_PORT = 1_024;
    private static final int MAX_COUNT = 1_000_000_000;
    private static final double MAX_DURATION_MILLIS = 1e12;

    private final SettingsErrorCollector errors = new SettingsErrorCollector();
    private final SettingsFile file;
    /** File without content under the same name; its sections replace sections that are missing in {@code file}. */
    private final SettingsFile emptyFile;

    private NodeSettingsReader(SettingsFile file, SettingsFile emptyFile) {
        this.file = file;
        this.emptyFile = emptyFile;
    }

    static NodeSettings load(Path path) throws SettingsException {
        SettingsFile emptyFile = SettingsFile.parse(path.toString(), "");
        return new NodeSettingsReader(SettingsFile.load(path), emptyFile).read();
    }

    private NodeSettings read() throws SettingsException {
        SettingsSection root = file.top();
        List<String> serves = textList(root, "serves");
        Map<String, String> zones = zones();
        String zone = text(root, "zone", "");
        NodeSettings settings = new NodeSettings(
                errors.required(root, "node_name", "", () -> root.text("node_name", "")),
                text(root, "role", ""),
                text(root, "machine_class", ""),
                serves,
                ip(root),
                zone,
                text(root, "region", zones.getOrDefault(zone, "")),
                portRange(root),
                seeds(root),
                flag(root, "bootstrap", false),
                flag(root, "counts_for_quorum", false),
                errors.optional(root, "data_dir", null, () -> root.path("data_dir")),
                text(root, "discovery", ""),
                text(root, "entry", ""),
                millis(root, "heartbeat_ms", 1_000),
                textList(root, "contracts"),
                zones,
                listen(serves),
                limits(),
                faultTolerance(),
                bounds());
        checkVoterHasDisk(root, settings);
        errors.throwIfInvalid();
        return settings;
    }

    /** A controller that counts for the quorum runs an acceptor, which needs a disk. */
    private void checkVoterHasDisk(SettingsSection root, NodeSettings settings) {
        boolean isVoter = settings.countsForQuorum() && settings.serves().contains(NodeSettings.SERVES_CONTROL);
        if (isVoter && settings.dataDir() == null) {
            errors.add(root.invalid("data_dir", "is missing: a controller with counts_for_quorum needs a disk"));
        }
    }

    private SettingsSection sectionOrEmpty(String name) {
        SettingsSection empty = errors.value(null, () -> emptyFile.section(name));
        return errors.optional(file.top(), name, empty, () -> file.section(name));
    }

    private Map<String, String> zones() {
        SettingsSection section = sectionOrEmpty("zones");
        return errors.value(Map.of(), section::allTexts);
    }

    private String ip(SettingsSection root) {
        String ip = errors.required(root, "ip", null, () -> root.text("ip", null));
        return errors.valid(root, "ip", ip, text -> isAddress(text + ":1"), "must be a literal address");
    }

    private PortRange portRange(SettingsSection root) {
        List<Integer> ports =
                errors.required(root, "port_range", null, () -> root.integers("port_range", MIN_PORT, MAX_PORT));
        errors.valid(
                root,
                "port_range",
                ports,
                list -> list.size() == 2 && list.get(0) <= list.get(1),
                "must be a first and a last port");
        return ports == null || ports.size() != 2 ? null : new PortRange(ports.get(0), ports.get(1));
    }

    private List<String> seeds(SettingsSection root) {
        return errors.valid(
                root,
                "seeds",
                textList(root, "seeds"),
                list -> list.stream().allMatch(NodeSettingsReader::isAddress),
                "must be literal addresses and ports, as \"127.0.0.1:9001\"");
    }

    private static boolean isAddress(String text) {
        try {
            return LiteralAddresses.parse(text) != null;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private Listen listen(List<String> serves) {
        SettingsSection section = sectionOrEmpty("listen");
        return new Listen(
                address(section, "front", serves.contains(NodeSettings.SERVES_CLIENTS)),
                address(section, "readiness", false),
                address(section, "control", serves.contains(NodeSettings.SERVES_CONTROL)));
    }

    private InetSocketAddress address(SettingsSection section, String key, boolean required) {
        return required
                ? errors.required(section, key, null, () -> section.address(key))
                : errors.optional(section, key, null, () -> section.address(key));
    }

    private Limits limits() {
        SettingsSection section = sectionOrEmpty("limits");
        return new Limits(
                number(section, "cpu_share", 1, 0.001, 1_024),
                number(section, "cpu_cores", 1, 0.001, 1_024),
                (int) number(section, "memory_mb", 256, 1, MAX_COUNT),
                (int) number(section, "max_fds", 1_024, 1, MAX_COUNT),
                number(section, "link_mbps", 1_000, 0.001, MAX_COUNT),
                (int) number(section, "disk_mb", 0, 0, MAX_COUNT));
    }

    private FaultTolerance faultTolerance() {
        SettingsSection section = sectionOrEmpty("fault_tolerance");
        return new FaultTolerance(
                count(section, "machines", 1), count(section, "zones", 0), count(section, "regions", 0));
    }

    private NodeBounds bounds() {
        SettingsSection section = sectionOrEmpty("bounds");
        return new NodeBounds(
                seconds(section, "seed_lag_s", 3),
                seconds(section, "reuse_after_s", 2),
                millis(section, "contact_ms", 3_000),
                millis(section, "ack_ms", 4_000),
                seconds(section, "catch_up_s", 4),
                millis(section, "drain_timeout_ms", 2_000),
                seconds(section, "grace_s", 8),
                millis(section, "loss_slack_ms", 200),
                millis(section, "config_apply_ms", 2_000),
                millis(section, "downgrade_ms", 250),
                millis(section, "outer_ms", 5_000),
                flag(section, "revocation", false),
                millis(section, "revoke_ms", 5_000),
                number(section, "retry_budget", 0.2, 0, MAX_COUNT),
                seconds(section, "budget_window_s", 10),
                (int) number(section, "budget_slack", 0, 0, MAX_COUNT),
                seconds(section, "recovery_s", 12),
                millis(section, "transit_ms", 120),
                seconds(section, "again_s", 10),
                flag(section, "fencing", false),
                millis(section, "lease_ms", 3_000),
                millis(section, "thaw_ms", 300),
                millis(section, "version_ms", 8_000),
                millis(section, "version_all_ms", 11_000));
    }

    private String text(SettingsSection section, String key, String defaultValue) {
        return errors.optional(section, key, defaultValue, () -> section.text(key, defaultValue));
    }

    private List<String> textList(SettingsSection section, String key) {
        return errors.optional(section, key, List.of(), () -> section.texts(key));
    }

    private boolean flag(SettingsSection section, String key, boolean defaultValue) {
        return errors.optional(section, key, defaultValue, () -> section.flag(key, defaultValue));
    }

    private double number(SettingsSection section, String key, double defaultValue, double min, double max) {
        return errors.optional(section, key, defaultValue, () -> section.number(key, defaultValue, min, max));
    }

    private int count(SettingsSection section, String key, int defaultValue) {
        return errors.optional(section, key, defaultValue, () -> section.integer(key, defaultValue, 0, MAX_COUNT));
    }

    private long millis(SettingsSection section, String key, double defaultValue) {
        return Math.round(number(section, key, defaultValue, 0, MAX_DURATION_MILLIS) * NANOS_PER_MILLI);
    }

    private long seconds(SettingsSection section, String key, double defaultValue) {
        return Math.round(number(section, key, defaultValue, 0, MAX_DURATION_MILLIS / 1_000) * 1_000 * NANOS_PER_MILLI);
    }
}
