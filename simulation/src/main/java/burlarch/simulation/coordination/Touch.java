package burlarch.simulation.coordination;

import burlarch.simulation.Simulation;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Which machines are in touch: calm themselves and with a path to a calm core. */
final class Touch {
    private final Simulation simulation;
    private final Map<String, Long> lastEvents = new HashMap<>();
    private final Set<String> core = new LinkedHashSet<>();
    private long coreEvent;
    private long networkBadUntil;

    Touch(Simulation simulation) {
        this.simulation = simulation;
    }

    void addCore(String name) {
        core.add(name);
    }

    void removeCore(String name) {
        core.remove(name);
    }

    /** Something begins or ends at these machines now. */
    void onEvent(Collection<String> names) {
        for (String name : names) {
            lastEvents.put(name, simulation.now());
            if (FleetPlan.isController(name)) {
                coreEvent = simulation.now();
            }
        }
    }

    /** The network harms messages until then. */
    void onNetwork(long until) {
        networkBadUntil = Math.max(networkBadUntil, until);
    }

    /** Whether a machine is in touch now and was for a time before {@code since}. */
    boolean inTouch(String machine, long since) {
        long calmFrom = since - FleetPlan.CONTACT_NANOS;
        if (networkBadUntil > calmFrom
                || coreEvent > calmFrom
                || lastEvents.getOrDefault(machine, 0L) > calmFrom
                || !active(machine)) {
            return false;
        }
        List<String> majority = majority();
        return !majority.isEmpty() && majority.stream().allMatch(name -> connected(machine, name));
    }

    /**
     * Whether the whole core runs, and nothing was the matter anywhere since that time and for a while before
     * it.
     */
    boolean allCalm(long since) {
        long calmFrom = since - FleetPlan.CONTACT_NANOS;
        return networkBadUntil <= calmFrom
                && simulation.network().isWhole()
                && lastEvents.values().stream().allMatch(event -> event <= calmFrom)
                && core.stream().allMatch(this::active);
    }

    /** Whether the two can talk now, and nothing was the matter with either for a while. */
    boolean reaches(String one, String other) {
        long calmFrom = simulation.now() - FleetPlan.CONTACT_NANOS;
        return networkBadUntil <= calmFrom
                && active(one)
                && active(other)
                && connected(one, other)
                && lastEvents.getOrDefault(one, 0L) <= calmFrom
                && lastEvents.getOrDefault(other, 0L) <= calmFrom;
    }

    /**
     * The running core machines that reach more than half of the core; empty where the core is not stable.
     */
    private List<String> majority() {
        List<String> majority = new ArrayList<>();
        for (String name : core) {
            long reached = core.stream()
                    .filter(this::active)
                    .filter(other -> connected(name, other))
                    .count();
            if (active(name) && 2 * reached > core.size()) {
                majority.add(name);
            }
        }
        return majority;
    }

    private boolean active(String name) {
        return simulation.running(name) && !simulation.frozen(name);
    }

    private boolean connected(String one, String other) {
        return simulation.network().connected(one, other)
                && simulation.network().connected(other, one);
    }
}
