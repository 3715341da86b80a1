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
final class Connectivity {
    private final Simulation simulation;
    private final Map<String, Long> lastFaultNanos = new HashMap<>();
    private final Set<String> controllers = new LinkedHashSet<>();
    private long lastControllerFaultNanos;
    private long networkFaultUntilNanos;

    Connectivity(Simulation simulation) {
        this.simulation = simulation;
    }

    void addController(String name) {
        controllers.add(name);
    }

    void removeController(String name) {
        controllers.remove(name);
    }

    /** Something begins or ends at these machines now. */
    void onFault(Collection<String> names) {
        for (String name : names) {
            lastFaultNanos.put(name, simulation.now());
            if (FleetPlan.isController(name)) {
                lastControllerFaultNanos = simulation.now();
            }
        }
    }

    /** The network harms messages until then. */
    void onNetworkFaultUntil(long until) {
        networkFaultUntilNanos = Math.max(networkFaultUntilNanos, until);
    }

    /** Whether a machine is in touch now and was for a time before {@code since}. */
    boolean isConnected(String machine, long since) {
        long calmFrom = since - FleetPlan.SETTLING_NANOS;
        if (networkFaultUntilNanos > calmFrom
                || lastControllerFaultNanos > calmFrom
                || lastFaultNanos.getOrDefault(machine, 0L) > calmFrom
                || !isActive(machine)) {
            return false;
        }
        List<String> majority = majorityControllers();
        return !majority.isEmpty() && majority.stream().allMatch(name -> hasPath(machine, name));
    }

    /**
     * Whether the whole core runs, and nothing was the matter anywhere since that time and for a while before
     * it.
     */
    boolean isFaultFreeSince(long since) {
        long calmFrom = since - FleetPlan.SETTLING_NANOS;
        return networkFaultUntilNanos <= calmFrom
                && simulation.network().hasNoPartition()
                && lastFaultNanos.values().stream().allMatch(event -> event <= calmFrom)
                && controllers.stream().allMatch(this::isActive);
    }

    /** Whether the two can talk now, and nothing was the matter with either for a while. */
    boolean canExchange(String one, String other) {
        long calmFrom = simulation.now() - FleetPlan.SETTLING_NANOS;
        return networkFaultUntilNanos <= calmFrom
                && isActive(one)
                && isActive(other)
                && hasPath(one, other)
                && lastFaultNanos.getOrDefault(one, 0L) <= calmFrom
                && lastFaultNanos.getOrDefault(other, 0L) <= calmFrom;
    }

    /**
     * The running core machines that reach more than half of the core; empty where the core is not stable.
     */
    private List<String> majorityControllers() {
        List<String> majority = new ArrayList<>();
        for (String name : controllers) {
            long reached = controllers.stream()
                    .filter(this::isActive)
                    .filter(other -> hasPath(name, other))
                    .count();
            if (isActive(name) && 2 * reached > controllers.size()) {
                majority.add(name);
            }
        }
        return majority;
    }

    private boolean isActive(String name) {
        return simulation.isRunning(name) && !simulation.isFrozen(name);
    }

    private boolean hasPath(String one, String other) {
        return simulation.network().connected(one, other)
                && simulation.network().connected(other, one);
    }
}
