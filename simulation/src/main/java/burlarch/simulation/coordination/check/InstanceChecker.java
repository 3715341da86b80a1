package burlarch.simulation.coordination.check;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.plan.FleetTimings;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Periodic checker of {@link Rule#LIVE_INSTANCE_LISTED} and {@link Rule#ENDED_INSTANCE_REMOVED}.
 *
 * <p>An instance counts as announced to a controller while that controller's last acknowledgement is recent. A router
 * must list the instance if it can exchange messages with such a controller and has been connected with it since the
 * router's start; the instance may be missing for at most {@link #MISSING_LIMIT_NANOS}.
 */
public final class InstanceChecker {
    /** Longest time for which a live instance may be missing at a router. */
    static final long MISSING_LIMIT_NANOS = 2 * Simulation.SECOND;

    private static final long CHECK_INTERVAL_NANOS = 250 * Simulation.MILLISECOND;
    /** Age up to which an acknowledgement is recent: two heartbeat intervals, plus 200 ms for message delays. */
    private static final long RECENT_ACKNOWLEDGEMENT_NANOS =
            2 * FleetTimings.HEARTBEAT_INTERVAL_NANOS + 200 * Simulation.MILLISECOND;

    private record RouterAndInstance(String router, String instance) {}

    private final Simulation simulation;
    private final ViolationLog violations;
    private final Connectivity connectivity;
    /** For each live instance: virtual time of each controller's last acknowledgement. */
    private final Map<String, Map<String, Long>> acknowledgedNanos = new HashMap<>();

    private final Map<String, Long> endedNanos = new HashMap<>();
    private final Map<RouterAndInstance, Long> missingSinceNanos = new HashMap<>();

    InstanceChecker(Simulation simulation, ViolationLog violations, Connectivity connectivity) {
        this.simulation = simulation;
        this.violations = violations;
        this.connectivity = connectivity;
        simulation.schedule(CHECK_INTERVAL_NANOS, this::check);
    }

    /** Records that a controller acknowledged an announcement of an instance that takes requests. */
    public void onAnnouncementAcknowledged(String instance, String controller) {
        acknowledgedNanos.computeIfAbsent(instance, key -> new HashMap<>()).put(controller, simulation.now());
    }

    /** Records that an instance starts to drain or leave, or has crashed: routers may list it or not from now on. */
    public void onEnding(String instance) {
        acknowledgedNanos.remove(instance);
    }

    /** Records that a connected controller acknowledged the instance's drain or leave. */
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
                .anyMatch(entry -> simulation.now() - entry.getValue() <= RECENT_ACKNOWLEDGEMENT_NANOS
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
