package burlarch.simulation.coordination.check;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.coordination.plan.FleetTimings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracker of faults and partitions that decides which machines are connected. The checkers use it to require only what
 * the fleet can do under the current faults.
 *
 * <p>A machine is <em>connected</em> when it runs, no fault has begun or ended at it or at any controller for
 * {@link FleetTimings#SETTLING_NANOS}, and it has a network path in both directions to all controllers that form a
 * majority.
 */
public final class Connectivity {
    private final Simulation simulation;
    private final Map<String, Long> lastFaultNanos = new HashMap<>();
    private final Set<String> controllers = new LinkedHashSet<>();
    private long lastControllerFaultNanos;
    private long networkFaultUntilNanos;

    /** Creates the tracker of a fleet that has no controllers yet. */
    public Connectivity(Simulation simulation) {
        this.simulation = simulation;
    }

    /** Adds a controller to those of which a majority is needed, whether it runs or not. */
    public void addController(String name) {
        controllers.add(name);
    }

    /** Removes a controller that has been retired permanently. */
    public void removeController(String name) {
        controllers.remove(name);
    }

    /** Records that a fault begins or ends at these machines now. */
    public void onFault(Collection<String> machines) {
        for (String name : machines) {
            lastFaultNanos.put(name, simulation.now());
            if (FleetNames.isController(name)) {
                lastControllerFaultNanos = simulation.now();
            }
        }
    }

    /** Records that a fault begins at these machines now and ends after the duration; 0 for a permanent fault. */
    public void onFaultFor(long durationNanos, Collection<String> machines) {
        List<String> affected = List.copyOf(machines);
        onFault(affected);
        if (durationNanos > 0) {
            simulation.scheduleAfter(durationNanos, () -> onFault(affected));
        }
    }

    /** Records that the network loses, duplicates or delays messages until this virtual time. */
    public void onNetworkFaultUntil(long untilNanos) {
        networkFaultUntilNanos = Math.max(networkFaultUntilNanos, untilNanos);
    }

    /**
     * Returns whether a machine is connected now and was free of faults since {@code sinceNanos} and in the settling
     * time before.
     */
    public boolean isConnected(String machine, long sinceNanos) {
        long settledFrom = sinceNanos - FleetTimings.SETTLING_NANOS;
        if (networkFaultUntilNanos > settledFrom
                || lastControllerFaultNanos > settledFrom
                || !isFaultFree(machine, settledFrom)
                || !isActive(machine)) {
            return false;
        }
        List<String> majority = majority();
        return !majority.isEmpty() && majority.stream().allMatch(name -> hasPath(machine, name));
    }

    /**
     * Returns whether all controllers run, and no machine had a fault since {@code sinceNanos} or in the settling time
     * before.
     */
    public boolean isFaultFreeSince(long sinceNanos) {
        long settledFrom = sinceNanos - FleetTimings.SETTLING_NANOS;
        return networkFaultUntilNanos <= settledFrom
                && simulation.network().hasNoPartition()
                && lastFaultNanos.values().stream().allMatch(fault -> fault <= settledFrom)
                && controllers.stream().allMatch(this::isActive);
    }

    /** Returns whether two machines can exchange messages now, and neither had a fault in the settling time. */
    public boolean canExchange(String first, String second) {
        long settledFrom = simulation.now() - FleetTimings.SETTLING_NANOS;
        return networkFaultUntilNanos <= settledFrom
                && isActive(first)
                && isActive(second)
                && hasPath(first, second)
                && isFaultFree(first, settledFrom)
                && isFaultFree(second, settledFrom);
    }

    /** Returns the running controllers that reach more than half of all; empty if there is no majority. */
    private List<String> majority() {
        List<String> majority = new ArrayList<>();
        for (String name : controllers) {
            long reached = controllers.stream()
                    .filter(this::isActive)
                    .filter(peer -> hasPath(name, peer))
                    .count();
            if (isActive(name) && 2 * reached > controllers.size()) {
                majority.add(name);
            }
        }
        return majority;
    }

    private boolean isFaultFree(String machine, long settledFrom) {
        return lastFaultNanos.getOrDefault(machine, 0L) <= settledFrom;
    }

    private boolean isActive(String name) {
        return simulation.isRunning(name) && !simulation.isFrozen(name);
    }

    private boolean hasPath(String first, String second) {
        return simulation.network().connected(first, second)
                && simulation.network().connected(second, first);
    }
}
