package burlarch.simulation.coordination;

import burlarch.simulation.Simulation;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * What routers know of instances. A live instance that announces to any controller which the router reaches
 * and has met is never missing from the router's list for longer than {@link #MISSING_LIMIT_NANOS}; one whose end
 * was acknowledged doesn't come back.
 */
final class InstanceChecker {
    static final String MISSING = "instance";
    static final String RETURNED = "returned";
    /** How long a router may lack a live instance. */
    static final long MISSING_LIMIT_NANOS = 2 * Simulation.SECOND;

    private static final long CHECK_INTERVAL_NANOS = 250 * Simulation.MILLISECOND;
    /** An instance announces to a controller while its last acknowledgement there is no older. */
    private static final long FRESH_NANOS = 2 * FleetPlan.HEARTBEAT_INTERVAL_NANOS + 200 * Simulation.MILLISECOND;

    private final Simulation simulation;
    private final ViolationLog violations;
    private final Connectivity touch;
    /** By instance: when each controller acknowledged it last. */
    private final Map<String, Map<String, Long>> acknowledgedNanos = new HashMap<>();

    private final Map<String, Long> endedNanos = new HashMap<>();
    /** By router and instance: since when it was missing. */
    private final Map<String, Long> missingSince = new HashMap<>();

    private int checkCount;

    InstanceChecker(Simulation simulation, ViolationLog violations, Connectivity touch) {
        this.simulation = simulation;
        this.violations = violations;
        this.touch = touch;
        simulation.schedule(CHECK_INTERVAL_NANOS, this::check);
    }

    /** A controller acknowledged that the instance is ready. */
    void onAnnouncementAcknowledged(String instance, String controller) {
        acknowledgedNanos.computeIfAbsent(instance, key -> new HashMap<>()).put(controller, simulation.now());
    }

    /** The instance is about to drain or leave, or has crashed. */
    void onEnding(String instance) {
        acknowledgedNanos.remove(instance);
    }

    /** Its drain or its leaving was acknowledged by a controller in touch. */
    void onEndAcknowledged(String instance) {
        endedNanos.putIfAbsent(instance, simulation.now());
    }

    /** How often a live instance was looked for at a router. */
    int checkCount() {
        return checkCount;
    }

    private void check() {
        simulation.schedule(simulation.now() + CHECK_INTERVAL_NANOS, this::check);
        for (String name : simulation.machineNames()) {
            if (simulation.node(name) instanceof RouterNode router) {
                acknowledgedNanos.forEach((instance, heard) -> checkListed(name, router, instance, heard));
                checkEndedStayRemoved(name, router);
            }
        }
    }

    private void checkListed(String name, RouterNode router, String instance, Map<String, Long> heard) {
        String key = name + " " + instance;
        boolean told = heard.entrySet().stream()
                .anyMatch(entry -> simulation.now() - entry.getValue() <= FRESH_NANOS
                        && router.hasMet(entry.getKey())
                        && touch.canExchange(name, entry.getKey()));
        if (!told || router.sendsTo(instance)) {
            checkCount += told ? 1 : 0;
            missingSince.remove(key);
            return;
        }
        checkCount++;
        long since = missingSince.computeIfAbsent(key, unused -> simulation.now());
        if (simulation.now() - since > MISSING_LIMIT_NANOS) {
            violations.add(
                    MISSING,
                    name + " lacks " + instance + ", which announces to "
                            + String.join(", ", new TreeSet<>(heard.keySet())));
            missingSince.remove(key);
        }
    }

    private void checkEndedStayRemoved(String name, RouterNode router) {
        endedNanos.forEach((instance, since) -> {
            if (simulation.now() - since > FleetPlan.DRAIN_LIMIT_NANOS
                    && router.sendsTo(instance)
                    && touch.isConnected(name, simulation.now())) {
                violations.add(RETURNED, name + " sends to " + instance + ", whose end was acknowledged");
            }
        });
    }
}
