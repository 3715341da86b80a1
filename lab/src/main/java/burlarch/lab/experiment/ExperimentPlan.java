package burlarch.lab.experiment;

import burlarch.lab.load.LoadPlan;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import burlarch.settings.SettingsSection;
import burlarch.standins.fleet.FleetPlan;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Settings of an experiment, read from one file: a fleet with its faults, proxies with their limits and faults, a
 * load, and acceptance thresholds.
 */
public record ExperimentPlan(
        String name,
        String about,
        Path file,
        FleetPlan fleet,
        LoadPlan load,
        Proxies proxies,
        List<ProxyEvent> events,
        List<Threshold> thresholds) {
    /**
     * How the proxy processes are run.
     *
     * @param arguments command-line arguments after {@code serve}
     * @param pin cores that each process may run on, as a list in the format of taskset; empty for any
     * @param directToNode whether clients send to the first node without any proxy
     * @param cores CPU cores that each process may use, enforced by stopping it; 0 for no limit
     * @param jvm additional JVM flags, placed after those of the platform
     * @param liveHeapAtS seconds after the start at which the live heap is measured; 0 for never
     */
    public record Proxies(
            int heapMb,
            int sockets,
            int maxAttempts,
            List<String> arguments,
            String pin,
            boolean directToNode,
            double cores,
            List<String> jvm,
            double liveHeapAtS) {}

    /**
     * A scheduled action on a proxy's process.
     *
     * @param timeS seconds after the start of the load
     */
    public record ProxyEvent(double timeS, Action action, String proxy) {
        /** Actions on a process. */
        public enum Action {
            KILL,
            TERM,
            PAUSE,
            RESUME,
            START
        }

        @Override
        public String toString() {
            return action.name().toLowerCase(java.util.Locale.ROOT) + " " + proxy;
        }
    }

    /**
     * Reads and validates an experiment.
     *
     * @throws SettingsException naming the file and the key
     */
    public static ExperimentPlan read(Path path) throws SettingsException {
        return read(SettingsFile.loadWithBase(path), path);
    }

    static ExperimentPlan read(SettingsFile file, Path path) throws SettingsException {
        SettingsSection experiment = file.section("experiment");
        FleetPlan fleet = FleetPlan.read(file);
        LoadPlan load = LoadPlan.read(file, fleet);
        SettingsSection proxies = file.section("proxies");
        List<ProxyEvent> events = new ArrayList<>();
        for (SettingsSection entry : file.sections("proxy_at")) {
            events.addAll(events(entry, fleet));
        }
        events.sort(Comparator.comparingDouble(ProxyEvent::timeS));
        List<Threshold> thresholds = new ArrayList<>();
        for (String text : experiment.texts("bars")) {
            try {
                thresholds.add(Threshold.parse(text));
            } catch (IllegalArgumentException e) {
                throw experiment.invalid("bars", e.getMessage());
            }
        }
        ExperimentPlan plan = new ExperimentPlan(
                experiment.text("name", path.getFileName().toString()),
                experiment.text("about", "-"),
                path,
                fleet,
                load,
                new Proxies(
                        proxies.integer("heap_mb", 48, 16, 65_536),
                        proxies.integer("sockets", 1024, 256, 1_000_000),
                        proxies.integer("attempts_most", 5, 1, 5),
                        proxies.texts("arguments"),
                        proxies.has("pin") ? proxies.text("pin", "") : "",
                        proxies.flag("none", false),
                        proxies.number("cores", 0, 0, 64),
                        proxies.texts("jvm"),
                        proxies.number("live_heap_at_s", 0, 0, 86_400)),
                events,
                thresholds);
        if (load.tls() && load.batch() > 0) {
            throw file.invalid(
                    "client_tls.on",
                    "and load.batch cannot be combined: clients use either the TLS port or the multi-get port");
        }
        if (load.tls() && load.tlsCa() != null) {
            throw file.invalid("client_tls.ca_file", "must not be set: the experiment generates its own certificate");
        }
        if (load.tls() && plan.proxies().directToNode()) {
            throw file.invalid("client_tls.on", "and proxies.none cannot be combined: nodes do not support TLS");
        }
        file.rejectUnreadKeys();
        return plan;
    }

    private static List<ProxyEvent> events(SettingsSection entry, FleetPlan fleet) throws SettingsException {
        double timeS = entry.require("s", "do", "proxy").number("s", 0, 0, 86_400);
        String action = entry.text("do", "", List.of("kill", "term", "pause", "restart"));
        String proxy = entry.text("proxy", "");
        double durationS = entry.number("for_s", 1, 0, 86_400);
        if (fleet.proxyPlans().stream().noneMatch(proxyPlan -> proxyPlan.name().equals(proxy))) {
            throw entry.invalid("proxy", "does not name a [[proxy]] of this file: " + proxy);
        }
        return switch (action) {
            case "term" -> List.of(new ProxyEvent(timeS, ProxyEvent.Action.TERM, proxy));
            case "pause" -> List.of(
                    new ProxyEvent(timeS, ProxyEvent.Action.PAUSE, proxy),
                    new ProxyEvent(timeS + durationS, ProxyEvent.Action.RESUME, proxy));
            case "restart" -> List.of(
                    new ProxyEvent(timeS, ProxyEvent.Action.TERM, proxy),
                    new ProxyEvent(timeS + Math.max(durationS, 0.1), ProxyEvent.Action.START, proxy));
            default -> entry.has("for_s")
                    ? List.of(
                            new ProxyEvent(timeS, ProxyEvent.Action.KILL, proxy),
                            new ProxyEvent(timeS + durationS, ProxyEvent.Action.START, proxy))
                    : List.of(new ProxyEvent(timeS, ProxyEvent.Action.KILL, proxy));
        };
    }
}
