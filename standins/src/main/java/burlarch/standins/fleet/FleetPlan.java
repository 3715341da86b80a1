package burlarch.standins.fleet;

import burlarch.audit.Rules;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import burlarch.settings.SettingsSection;
import burlarch.standins.model.MachineKind;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The configuration of a fleet, as read from its file; docs/lab.md describes every key.
 *
 * @param seed        seed of all random draws
 * @param host        loopback address of all listeners
 * @param threads     number of event loops
 * @param proxyPlans  the proxies; discovery and every node have a listener of their own for each
 * @param network     simulated network delays
 * @param nodes       the cache nodes, then the ledger
 * @param classes     request classes
 * @param objects     keys and values
 * @param discovery   delays and limits of discovery
 * @param controlPort port of the control server; 0 for any free port
 * @param faults      the fault script, sorted by time
 */
public record FleetPlan(
        long seed,
        String host,
        int threads,
        List<ProxyPlan> proxyPlans,
        Network network,
        List<NodePlan> nodes,
        List<RequestClass> classes,
        Objects objects,
        DiscoveryPlan discovery,
        int controlPort,
        List<Fault.Scheduled> faults) {
    /** Id of the origin node, which every fleet has. */
    public static final String LEDGER = "ledger";

    private static final int MAX_NODES = 2000;
    private static final long YEAR_MS = 31_536_000_000L;

    /**
     * A proxy as the fleet knows it.
     *
     * @param name          the proxy's name
     * @param zone          the proxy's zone, which decides its network delays
     * @param discoveryPort port at which discovery serves the proxy; 0 for any free port
     */
    public record ProxyPlan(String name, String zone, int discoveryPort) {}

    /** One-way network delays between a proxy and a node. */
    public record Network(long sameZoneNanos, long crossZoneNanos) {}

    /** A cache node or the ledger. */
    public record NodePlan(String id, String zone, int cell, MachineKind kind) {
        /** Whether this is the ledger. */
        public boolean ledger() {
            return id.equals(LEDGER);
        }
    }

    /**
     * A class of requests.
     *
     * @param name            the class's name
     * @param share           relative share of the load
     * @param workNanos       mean work at a cache, on a standard core
     * @param cv              coefficient of variation of the work
     * @param ledgerWorkNanos mean work at the ledger, on a standard core
     * @param write           whether its requests are writes
     * @param repeat          repeat policy of the audit
     * @param aimNanos        target latency, for the proxies' settings
     * @param deadlineNanos   the clients' timeout
     * @param worth           value of a served request, for the proxies' settings
     */
    public record RequestClass(
            String name,
            double share,
            long workNanos,
            double cv,
            long ledgerWorkNanos,
            boolean write,
            Rules.Repeat repeat,
            long aimNanos,
            long deadlineNanos,
            double worth) {}

    /**
     * The keys and their values.
     *
     * @param count     number of keys
     * @param sizeBytes mean size of a value
     * @param sizeCv    coefficient of variation of the size
     * @param warm      number of the most popular keys that every cache holds from the start
     */
    public record Objects(int count, int sizeBytes, double sizeCv, int warm) {}

    /**
     * Delays and limits of discovery, which processes calls one after another.
     *
     * @param noticeNanos       delay until an announced drain or end appears in the list
     * @param silentNoticeNanos delay until an unannounced end appears
     * @param addNanos          delay until a start appears
     * @param spreadNanos       watches get a change spread over this time
     * @param keptChanges       number of changes kept for watches that resume
     * @param callNanos         processing time of a call; 0 for none
     * @param waitNanos         maximum queueing time: a call that would wait longer is answered with 503
     */
    public record DiscoveryPlan(
            long noticeNanos,
            long silentNoticeNanos,
            long addNanos,
            long spreadNanos,
            int keptChanges,
            long callNanos,
            long waitNanos) {}

    /**
     * Reads the plan of a fleet from its file.
     *
     * @throws SettingsException if the file is invalid; the message names file and key
     */
    public static FleetPlan read(SettingsFile file) throws SettingsException {
        SettingsSection fleet = file.section("fleet");
        long seed = fleet.integer("seed", 1, 0, Integer.MAX_VALUE);
        List<ProxyPlan> proxyPlans = new ArrayList<>();
        for (SettingsSection proxy : file.sections("proxy")) {
            proxyPlans.add(new ProxyPlan(
                    proxy.require("name").text("name", ""),
                    proxy.text("zone", "a"),
                    proxy.integer("discovery_port", 0, 0, 65_535)));
        }
        if (proxyPlans.isEmpty()) {
            proxyPlans.add(new ProxyPlan("n0", "a", 0));
        }
        requireUnique(file, "proxy", proxyPlans.stream().map(ProxyPlan::name).toList());
        SettingsSection network = file.section("network");
        Map<String, MachineKind> kinds = new LinkedHashMap<>();
        for (SettingsSection kind : file.sections("kind")) {
            MachineKind machineKind = kind(kind, kind.require("name").text("name", ""));
            if (kinds.put(machineKind.name(), machineKind) != null) {
                throw kind.invalid("name", "is defined twice: " + machineKind.name());
            }
        }
        List<NodePlan> nodes = nodes(file, kinds);
        SettingsSection ledger = file.section("ledger");
        nodes.add(new NodePlan(LEDGER, ledger.text("zone", proxyPlans.get(0).zone()), 0, kind(ledger, "origin")));
        requireUnique(file, "nodes", nodes.stream().map(NodePlan::id).toList());
        List<RequestClass> classes = new ArrayList<>();
        for (SettingsSection section : file.sections("class")) {
            classes.add(requestClass(section));
        }
        if (classes.isEmpty()) {
            throw file.invalid("class", "is missing: a fleet needs at least one [[class]] table");
        }
        requireUnique(file, "class", classes.stream().map(RequestClass::name).toList());
        SettingsSection objects = file.section("objects");
        SettingsSection discovery = file.section("discovery");
        FleetPlan plan = new FleetPlan(
                seed,
                fleet.text("host", "127.0.0.1", List.of("127.0.0.1", "::1")),
                fleet.integer("threads", 1, 1, 16),
                proxyPlans,
                new Network(millis(network, "same_zone_ms", 0, 1000), millis(network, "cross_zone_ms", 0, 1000)),
                nodes,
                classes,
                new Objects(
                        objects.integer("count", 10_000, 1, 5_000_000),
                        objects.integer("size_bytes", 200, 1, 60_000),
                        objects.number("size_cv", 0, 0, 3),
                        objects.integer("warm", 0, 0, 1_000_000)),
                new DiscoveryPlan(
                        millis(discovery, "notice_ms", 500, 60_000),
                        millis(discovery, "silent_notice_ms", 2000, 60_000),
                        millis(discovery, "add_ms", 500, 60_000),
                        millis(discovery, "spread_ms", 0, 60_000),
                        discovery.integer("kept_changes", 1000, 1, 100_000),
                        millis(discovery, "call_ms", 0, 60_000),
                        millis(discovery, "wait_ms", 2000, 60_000)),
                fleet.integer("control_port", 0, 0, 65_535),
                List.of());
        return plan.withFaults(FaultScript.read(file.sections("at"), plan));
    }

    private FleetPlan withFaults(List<Fault.Scheduled> script) {
        return new FleetPlan(
                seed, host, threads, proxyPlans, network, nodes, classes, objects, discovery, controlPort, script);
    }

    private static List<NodePlan> nodes(SettingsFile file, Map<String, MachineKind> kinds) throws SettingsException {
        List<NodePlan> nodes = new ArrayList<>();
        for (SettingsSection group : file.sections("nodes")) {
            String kindName = group.require("kind", "count").text("kind", "");
            MachineKind kind = kinds.get(kindName);
            if (kind == null) {
                throw group.invalid("kind", "names no [[kind]] of this file: " + kindName);
            }
            String prefix = group.text("prefix", "c");
            int count = group.integer("count", 0, 1, MAX_NODES);
            List<String> zones = group.has("zones") ? group.texts("zones") : List.of(group.text("zone", "a"));
            int cellSize = group.integer("cell_size", 4, 1, MAX_NODES);
            for (int i = 0; i < count; i++) {
                nodes.add(new NodePlan(prefix + "-" + nodes.size(), zones.get(i % zones.size()), i / cellSize, kind));
            }
            if (nodes.size() > MAX_NODES) {
                throw group.invalid("count", "makes more than " + MAX_NODES + " nodes");
            }
        }
        if (nodes.isEmpty()) {
            throw file.invalid("nodes", "is missing: a fleet needs at least one [[nodes]] table");
        }
        return nodes;
    }

    private static MachineKind kind(SettingsSection kind, String name) throws SettingsException {
        int cores = kind.integer("cores", 2, 1, 1024);
        int slots = kind.integer("slots", cores, 1, 100_000);
        return new MachineKind(
                name,
                cores,
                kind.number("speed", 1, 0.001, 1e6),
                slots,
                kind.integer("queue", 4 * cores, 0, 1_000_000),
                kind.integer("connections", 600 * cores, 1, 1_000_000),
                kind.number("cold_share", 0.2, 0.01, 1),
                millis(kind, "cold_ms", 15_000, 600_000),
                1024L * kind.integer("memory_kb", 4096, 1, 4 << 20),
                kind.number("error_share", 0, 0, 1),
                millis(kind, "handshake_ms", 0, 1000),
                millis(kind, "idle_close_ms", 15_000, YEAR_MS),
                kind.number("fall_multiple", 3, 0, 1000),
                millis(kind, "fall_ms", 3000, 60_000),
                millis(kind, "fallen_ms", 5000, 600_000));
    }

    private static RequestClass requestClass(SettingsSection section) throws SettingsException {
        Rules.Repeat.Kind kind =
                switch (section.text("repeat", "pure", List.of("pure", "token", "side_effect"))) {
                    case "token" -> Rules.Repeat.Kind.TOKEN;
                    case "side_effect" -> Rules.Repeat.Kind.SIDE_EFFECT;
                    default -> Rules.Repeat.Kind.PURE;
                };
        long workNanos = millis(section, "work_ms", 1, 60_000);
        return new RequestClass(
                section.require("name").text("name", ""),
                section.number("share", 1, 0, 1e6),
                workNanos,
                section.number("work_cv", 0, 0, 3),
                section.has("ledger_work_ms") ? millis(section, "ledger_work_ms", 1, 60_000) : workNanos,
                section.flag("write", false),
                new Rules.Repeat(kind, millis(section, "memory_span_ms", 1500, 600_000)),
                millis(section, "aim_ms", 600, 600_000),
                millis(section, "deadline_ms", 1200, 600_000),
                section.number("worth", 1, 0, 1e6));
    }

    /** Reads a number of milliseconds and returns it in nanoseconds. */
    static long millis(SettingsSection section, String key, double defaultMillis, double maxMillis)
            throws SettingsException {
        return (long) (section.number(key, defaultMillis, 0, maxMillis) * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Rejects a name that occurs twice. */
    private static void requireUnique(SettingsFile file, String table, List<String> names) throws SettingsException {
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                throw file.invalid(table, "names " + name + " twice");
            }
        }
    }

    /** Returns the repeat policy of each class by name, for the audit. */
    public Map<String, Rules.Repeat> repeats() {
        Map<String, Rules.Repeat> repeats = new LinkedHashMap<>();
        classes.forEach(requestClass -> repeats.put(requestClass.name(), requestClass.repeat()));
        return repeats;
    }
}
