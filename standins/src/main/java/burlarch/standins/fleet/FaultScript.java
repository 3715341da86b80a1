package burlarch.standins.fleet;

import burlarch.settings.SettingsException;
import burlarch.settings.SettingsSection;
import burlarch.standins.model.SeededRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Reads fault scripts from {@code [[at]]} tables, which give the time, the kind, the targets and the duration of each
 * fault. Random targets are drawn from the fleet's seed, so the same file always gives the same faults.
 */
public final class FaultScript {
    private static final double DAY_S = 86_400;
    private static final List<String> ACTIONS = actions();

    private FaultScript() {}

    private static List<String> actions() {
        List<String> actions = new ArrayList<>(
                Arrays.stream(Fault.Kind.values()).map(Fault.Kind::configName).toList());
        actions.add("restart");
        actions.add("release");
        return List.copyOf(actions);
    }

    /** Returns the faults of a script and their ends, sorted by time. */
    static List<Fault.Scheduled> read(List<SettingsSection> entries, FleetPlan plan) throws SettingsException {
        List<Fault.Scheduled> script = new ArrayList<>();
        int entryIndex = 0;
        for (SettingsSection entry : entries) {
            double atS = entry.require("s", "do").number("s", 0, 0, DAY_S);
            script.addAll(parseEntry(entry, atS, plan, entryIndex++));
        }
        script.sort(Comparator.comparingLong(Fault.Scheduled::atNanos));
        return script;
    }

    /**
     * Returns the faults of one entry.
     *
     * @param atS        start time in seconds; 0 for an entry from the control server
     * @param entryIndex index of the entry, which varies the random targets
     */
    static List<Fault.Scheduled> parseEntry(SettingsSection entry, double atS, FleetPlan plan, int entryIndex)
            throws SettingsException {
        String action = entry.require("do").text("do", "", ACTIONS);
        double forS = entry.number("for_s", 0, 0, DAY_S);
        List<Fault.Scheduled> faults = new ArrayList<>();
        if (action.equals("restart")) {
            List<String> targets = targets(entry, plan, entryIndex);
            faults.add(scheduled(atS, Fault.Kind.KILL, targets, 0));
            faults.add(scheduled(
                    atS + Math.max(forS, 0.1),
                    entry.flag("new_address", false) ? Fault.Kind.MOVE : Fault.Kind.START,
                    targets,
                    0));
            return faults;
        }
        if (action.equals("release")) {
            double everyS = entry.number("every_s", 3, 0.05, DAY_S);
            double drainS = entry.number("drain_s", 1, 0, DAY_S);
            boolean newAddress = entry.flag("new_address", false);
            double startS = atS;
            for (String node : targets(entry, plan, entryIndex)) {
                faults.add(scheduled(startS, Fault.Kind.DRAIN, List.of(node), 0));
                faults.add(scheduled(startS + drainS, Fault.Kind.LEAVE, List.of(node), 0));
                faults.add(scheduled(
                        startS + drainS + Math.max(forS, 0.1),
                        newAddress ? Fault.Kind.MOVE : Fault.Kind.START,
                        List.of(node),
                        0));
                startS += everyS;
            }
            return faults;
        }
        Fault.Kind kind = Fault.Kind.valueOf(action.toUpperCase(java.util.Locale.ROOT));
        double amount =
                switch (kind) {
                    case SLOW -> entry.require("times").number("times", 1, 1, 1000);
                    case RESET -> entry.require("share").number("share", 0, 0, 1);
                    case DISCOVERY_LATE -> entry.require("ms").number("ms", 0, 0, 3_600_000);
                    default -> 0;
                };
        List<String> targets = kind.concernsNodes() ? targets(entry, plan, entryIndex) : List.of();
        faults.add(scheduled(atS, kind, targets, amount));
        if (forS > 0) {
            Fault.Kind endKind = !kind.concernsNodes()
                    ? Fault.Kind.DISCOVERY_HEAL
                    : kind == Fault.Kind.KILL || kind == Fault.Kind.DRAIN || kind == Fault.Kind.LEAVE
                            ? Fault.Kind.START
                            : Fault.Kind.HEAL;
            if (kind == Fault.Kind.HEAL
                    || kind == Fault.Kind.START
                    || kind == Fault.Kind.MOVE
                    || kind == Fault.Kind.DISCOVERY_HEAL) {
                throw entry.invalid("for_s", "is not allowed with " + action);
            }
            faults.add(scheduled(atS + forS, endKind, targets, 0));
        }
        return faults;
    }

    private static Fault.Scheduled scheduled(double startS, Fault.Kind kind, List<String> targets, double amount) {
        return new Fault.Scheduled((long) (startS * 1e9), new Fault(kind, targets, amount));
    }

    /** Returns the target nodes: one by id, all caches of a zone, or a fraction of the caches drawn from the seed. */
    private static List<String> targets(SettingsSection entry, FleetPlan plan, int entryIndex)
            throws SettingsException {
        int selectors = (entry.has("node") ? 1 : 0) + (entry.has("zone") ? 1 : 0) + (entry.has("part") ? 1 : 0);
        if (selectors != 1) {
            throw entry.invalid("node", "or zone or part: exactly one of them must be given");
        }
        List<FleetPlan.NodePlan> caches =
                plan.nodes().stream().filter(node -> !node.ledger()).toList();
        if (entry.has("node")) {
            String name = entry.text("node", "");
            if (plan.nodes().stream().noneMatch(node -> node.id().equals(name))) {
                throw entry.invalid("node", "names no node of this fleet: " + name);
            }
            return List.of(name);
        }
        if (entry.has("zone")) {
            String zone = entry.text("zone", "");
            List<String> zoneNodes = caches.stream()
                    .filter(node -> node.zone().equals(zone))
                    .map(FleetPlan.NodePlan::id)
                    .toList();
            if (zoneNodes.isEmpty()) {
                throw entry.invalid("zone", "has no cache nodes: " + zone);
            }
            return zoneNodes;
        }
        double part = entry.number("part", 1, 0.0001, 1);
        int count = Math.max(1, (int) Math.round(part * caches.size()));
        return caches.stream()
                .map(FleetPlan.NodePlan::id)
                .sorted(Comparator.comparingLong(id -> SeededRandom.hash(plan.seed() + 31L * entryIndex, id)))
                .limit(count)
                .toList();
    }
}
