package burlarch.simulation.coordination;

import burlarch.simulation.Simulation;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * What routers know of instances. A live instance that announces to any controller which the router reaches
 * and has met is never missing from the router's list for longer than {@link #MISSING_NANOS}; one whose end
 * was acknowledged doesn't come back.
 */
final class InstanceRule {
    static final String MISSING = "instance";
    static final String RETURNED = "returned";
    /** How long a router may lack a live instance. */
    static final long MISSING_NANOS = 2 * Simulation.SECOND;

    private static final long LOOK_NANOS = 250 * Simulation.MILLISECOND;
    /** An instance announces to a controller while its last acknowledgement there is no older. */
    private static final long HEARD_NANOS = 2 * FleetPlan.HEARTBEAT_NANOS + 200 * Simulation.MILLISECOND;

    private final Simulation simulation;
    private final Violations violations;
    private final Touch touch;
    /** By instance: when each controller acknowledged it last. */
    private final Map<String, Map<String, Long>> live = new HashMap<>();

    private final Map<String, Long> ended = new HashMap<>();
    /** By router and instance: since when it was missing. */
    private final Map<String, Long> missingSince = new HashMap<>();

    private int judged;

    InstanceRule(Simulation simulation, Violations violations, Touch touch) {
        this.simulation = simulation;
        this.violations = violations;
        this.touch = touch;
        simulation.at(LOOK_NANOS, this::look);
    }

    /** A controller acknowledged that the instance is ready. */
    void onAnnounced(String instance, String controller) {
        live.computeIfAbsent(instance, key -> new HashMap<>()).put(controller, simulation.now());
    }

    /** The instance is about to drain or leave, or has crashed. */
    void onEnding(String instance) {
        live.remove(instance);
    }

    /** Its drain or its leaving was acknowledged by a controller in touch. */
    void onEnded(String instance) {
        ended.putIfAbsent(instance, simulation.now());
    }

    /** How often a live instance was looked for at a router. */
    int judged() {
        return judged;
    }

    private void look() {
        simulation.at(simulation.now() + LOOK_NANOS, this::look);
        for (String name : simulation.names()) {
            if (simulation.node(name) instanceof RouterNode router) {
                live.forEach((instance, heard) -> lookFor(name, router, instance, heard));
                lookForEnded(name, router);
            }
        }
    }

    private void lookFor(String name, RouterNode router, String instance, Map<String, Long> heard) {
        String key = name + " " + instance;
        boolean told = heard.entrySet().stream()
                .anyMatch(entry -> simulation.now() - entry.getValue() <= HEARD_NANOS
                        && router.hasMet(entry.getKey())
                        && touch.reaches(name, entry.getKey()));
        if (!told || router.sendsTo(instance)) {
            judged += told ? 1 : 0;
            missingSince.remove(key);
            return;
        }
        judged++;
        long since = missingSince.computeIfAbsent(key, unused -> simulation.now());
        if (simulation.now() - since > MISSING_NANOS) {
            violations.add(
                    MISSING,
                    name + " lacks " + instance + ", which announces to "
                            + String.join(", ", new TreeSet<>(heard.keySet())));
            missingSince.remove(key);
        }
    }

    private void lookForEnded(String name, RouterNode router) {
        ended.forEach((instance, since) -> {
            if (simulation.now() - since > FleetPlan.DRAIN_NANOS
                    && router.sendsTo(instance)
                    && touch.inTouch(name, simulation.now())) {
                violations.add(RETURNED, name + " sends to " + instance + ", whose end was acknowledged");
            }
        });
    }
}
