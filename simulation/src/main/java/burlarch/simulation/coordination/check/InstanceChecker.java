package burlarch.simulation.coordination.check;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.plan.FleetTimings;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Verifies {@link Rule#LIVE_INSTANCE_LISTED} and {@link Rule#ENDED_INSTANCE_REMOVED} at regular intervals.
 *
 * <p>An instance announces itself to a controller while the controller's last acknowledgement is fresh. A router has to
 * list it where it reaches such a controller and has met it, and may lack it for
 * {@link #MISSING_LIMIT_NANOS} at most.
 */
public final class InstanceChecker {
    /** How long a router may lack a live instance. */
    static final long MISSING_LIMIT_NANOS = 2 * Simulation.SECOND;

    private static final long CHECK_INTERVAL_NANOS = 250 * Simulation.MILLISECOND;
    /** An acknowledgement is fresh for two heartbeats, and some time for its way. */
    private static final long FRESH_NANOS = 2 * FleetTimings.HEARTBEAT_INTERVAL_NANOS + 200 * Simulation.MILLISECOND;

    private record RouterAndInstance(String router, String instance) {}

    private final Simulation simulation;
    private final ViolationLog violations;
    private final Connectivity connectivity;
    /** For each live instance: when each controller acknowledged it last. */
    private final Map<String, Map<String, Long>> acknowledgedNanos = new HashMap<>();

    private final Map<String, Long> endedNanos = new HashMap<>();
    private final Map<RouterAndInstance, Long> missingSinceNanos = new HashMap<>();

    InstanceChecker(Simulation simulation, ViolationLog violations, Connectivity connectivity) {
        this.simulation = simulation;
        this.violations = violations;
        this.connectivity = connectivity;
        simulation.schedule(CHECK_INTERVAL_NANOS, this::check);
    }

    /** A controller acknowledged that the instance takes requests. */
    public void onAnnouncementAcknowledged(String instance, String controller) {
        acknowledgedNanos.computeIfAbsent(instance, key -> new HashMap<>()).put(controller, simulation.now());
    }

    /** The instance is about to drain or leave, or has crashed: routers may list it or not. */
    public void onEnding(String instance) {
        acknowledgedNanos.remove(instance);
    }

    /** The instance's drain or leave was acknowledged by a connected controller. */
    public void onEndAcknowledged(String instance) {
        endedNanos.putIfAbsent(instance, simulation.now());
    }

    private void check() {
        simulation.schedule(simulation.now() + CHECK_INTERVAL_NANOS, this::check);
        for (String name : simulation.machineNames()) {
            simulation.node(name, RouterView.class).ifPresent(router -> {
                acknowledgedNanos.forEach(
                        (instance, byController) -> checkListed(name, router, instance, byController));
                checkEndedStayRemoved(name, router);
            });
        }
    }

    private void checkListed(String name, RouterView router, String instance, Map<String, Long> byController) {
        RouterAndInstance key = new RouterAndInstance(name, instance);
        boolean mustList = byController.entrySet().stream()
                .anyMatch(entry -> simulation.now() - entry.getValue() <= FRESH_NANOS
                        && router.hasMet(entry.getKey())
                        && connectivity.canExchange(name, entry.getKey()));
        if (!mustList || router.sendsTo(instance)) {
            missingSinceNanos.remove(key);
            return;
        }
        long since = missingSinceNanos.computeIfAbsent(key, unused -> simulation.now());
        if (simulation.now() - since > MISSING_LIMIT_NANOS) {
            violations.add(
                    Rule.LIVE_INSTANCE_LISTED,
                    name + " lacks " + instance + ", which announces to "
                            + String.join(", ", new TreeSet<>(byController.keySet())));
            missingSinceNanos.remove(key);
        }
    }

    private void checkEndedStayRemoved(String name, RouterView router) {
        endedNanos.forEach((instance, since) -> {
            if (simulation.now() - since > FleetTimings.DRAIN_LIMIT_NANOS
                    && router.sendsTo(instance)
                    && connectivity.isConnected(name, simulation.now())) {
                violations.add(
                        Rule.ENDED_INSTANCE_REMOVED, name + " sends to " + instance + ", whose end was acknowledged");
            }
        });
    }
}
