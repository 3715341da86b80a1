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

/** Reads the settings of a process from its file, and reports all mistakes in it together. */
final class NodeSettingsReader {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_PORT = 65_535;
    private static final int MIN_PORT = 1_024;
    private static final int MAX_COUNT = 1_000_000_000;
    private static final double MAX_MILLIS = 1e12;

    private final SettingsErrorCollector check = new SettingsErrorCollector();
    private final SettingsFile file;
    /** Has the file's name and no content: its tables stand for missing ones. */
    private final SettingsFile blank;

    private NodeSettingsReader(SettingsFile file, SettingsFile blank) {
        this.file = file;
        this.blank = blank;
    }

    static NodeSettings load(Path path) throws SettingsException {
        SettingsFile blank = SettingsFile.parse(path.toString(), "");
        return new NodeSettingsReader(SettingsFile.load(path), blank).read();
    }

    private NodeSettings read() throws SettingsException {
        SettingsSection top = file.top();
        List<String> serves = texts(top, "serves");
        Map<String, String> zones = zones();
        String zone = text(top, "zone", "");
        NodeSettings settings = new NodeSettings(
                check.required(top, "node_name", "", () -> top.text("node_name", "")),
                text(top, "role", ""),
                text(top, "machine_class", ""),
                serves,
                ip(top),
                zone,
                text(top, "region", zones.getOrDefault(zone, "")),
                portRange(top),
                seeds(top),
                flag(top, "bootstrap", false),
                flag(top, "counts_for_quorum", false),
                check.optional(top, "data_dir", null, () -> top.path("data_dir")),
                text(top, "discovery", ""),
                text(top, "entry", ""),
                millis(top, "heartbeat_ms", 1_000),
                texts(top, "contracts"),
                zones,
                listen(serves),
                limits(),
                faultTolerance(),
                bounds());
        checkVoterHasDisk(top, settings);
        check.throwIfInvalid();
        return settings;
    }

    /** A controller whose loss is counted holds an acceptor, which needs a disk. */
    private void checkVoterHasDisk(SettingsSection top, NodeSettings settings) {
        boolean votes = settings.countsForQuorum() && settings.serves().contains(NodeSettings.SERVES_CONTROL);
        if (votes && settings.dataDir() == null) {
            check.add(top.invalid("data_dir", "is missing: a controller with counts_for_quorum needs a disk"));
        }
    }

    private SettingsSection table(String name) {
        SettingsSection empty = check.value(null, () -> blank.section(name));
        return check.optional(file.top(), name, empty, () -> file.section(name));
    }

    private Map<String, String> zones() {
        SettingsSection table = table("zones");
        return check.value(Map.of(), table::allTexts);
    }

    private String ip(SettingsSection top) {
        String ip = check.required(top, "ip", null, () -> top.text("ip", null));
        return check.valid(top, "ip", ip, text -> isAddress(text + ":1"), "must be a literal address");
    }

    private PortRange portRange(SettingsSection top) {
        List<Integer> ports =
                check.required(top, "port_range", null, () -> top.integers("port_range", MIN_PORT, MAX_PORT));
        check.valid(
                top,
                "port_range",
                ports,
                list -> list.size() == 2 && list.get(0) <= list.get(1),
                "must be a first and a last port");
        return ports == null || ports.size() != 2 ? null : new PortRange(ports.get(0), ports.get(1));
    }

    private List<String> seeds(SettingsSection top) {
        return check.valid(
                top,
                "seeds",
                texts(top, "seeds"),
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
        SettingsSection table = table("listen");
        return new Listen(
                address(table, "front", serves.contains(NodeSettings.SERVES_CLIENTS)),
                address(table, "readiness", false),
                address(table, "control", serves.contains(NodeSettings.SERVES_CONTROL)));
    }

    private InetSocketAddress address(SettingsSection table, String key, boolean needed) {
        return needed
                ? check.required(table, key, null, () -> table.address(key))
                : check.optional(table, key, null, () -> table.address(key));
    }

    private Limits limits() {
        SettingsSection table = table("limits");
        return new Limits(
                number(table, "cpu_share", 1, 0.001, 1_024),
                number(table, "cpu_cores", 1, 0.001, 1_024),
                (int) number(table, "memory_mb", 256, 1, MAX_COUNT),
                (int) number(table, "max_fds", 1_024, 1, MAX_COUNT),
                number(table, "link_mbps", 1_000, 0.001, MAX_COUNT),
                (int) number(table, "disk_mb", 0, 0, MAX_COUNT));
    }

    private FaultTolerance faultTolerance() {
        SettingsSection table = table("fault_tolerance");
        return new FaultTolerance(count(table, "machines", 1), count(table, "zones", 0), count(table, "regions", 0));
    }

    private NodeBounds bounds() {
        SettingsSection table = table("bounds");
        return new NodeBounds(
                seconds(table, "seed_lag_s", 3),
                seconds(table, "reuse_after_s", 2),
                millis(table, "contact_ms", 3_000),
                millis(table, "ack_ms", 4_000),
                seconds(table, "catch_up_s", 4),
                millis(table, "drain_timeout_ms", 2_000),
                seconds(table, "grace_s", 8),
                millis(table, "loss_slack_ms", 200),
                millis(table, "config_apply_ms", 2_000),
                millis(table, "downgrade_ms", 250),
                millis(table, "outer_ms", 5_000),
                flag(table, "revocation", false),
                millis(table, "revoke_ms", 5_000),
                number(table, "retry_budget", 0.2, 0, MAX_COUNT),
                seconds(table, "budget_window_s", 10),
                (int) number(table, "budget_slack", 0, 0, MAX_COUNT),
                seconds(table, "recovery_s", 12),
                millis(table, "transit_ms", 120),
                seconds(table, "again_s", 10),
                flag(table, "fencing", false),
                millis(table, "lease_ms", 3_000),
                millis(table, "thaw_ms", 300),
                millis(table, "version_ms", 8_000),
                millis(table, "version_all_ms", 11_000));
    }

    private String text(SettingsSection section, String key, String otherwise) {
        return check.optional(section, key, otherwise, () -> section.text(key, otherwise));
    }

    private List<String> texts(SettingsSection section, String key) {
        return check.optional(section, key, List.of(), () -> section.texts(key));
    }

    private boolean flag(SettingsSection section, String key, boolean otherwise) {
        return check.optional(section, key, otherwise, () -> section.flag(key, otherwise));
    }

    private double number(SettingsSection section, String key, double otherwise, double least, double most) {
        return check.optional(section, key, otherwise, () -> section.number(key, otherwise, least, most));
    }

    private int count(SettingsSection section, String key, int otherwise) {
        return check.optional(section, key, otherwise, () -> section.integer(key, otherwise, 0, MAX_COUNT));
    }

    private long millis(SettingsSection section, String key, double otherwise) {
        return Math.round(number(section, key, otherwise, 0, MAX_MILLIS) * NANOS_PER_MILLI);
    }

    private long seconds(SettingsSection section, String key, double otherwise) {
        return Math.round(number(section, key, otherwise, 0, MAX_MILLIS / 1_000) * 1_000 * NANOS_PER_MILLI);
    }
}
