package burlarch.simulation.coordination;

import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** What holds at routers: only what was chosen, never back, and in time where they are in touch. */
final class RouterRule {
    static final String UNDECIDED = "undecided";
    static final String BACK = "back";
    static final String LATE = "late";
    static final String TOLD = "told";
    static final String DRAIN = "drain";
    static final String ABSENT = "absent";

    private final Simulation simulation;
    private final Violations violations;
    private final ChainRule chain;
    private final Touch touch;
    private int judged;

    RouterRule(Simulation simulation, Violations violations, ChainRule chain, Touch touch) {
        this.simulation = simulation;
        this.violations = violations;
        this.chain = chain;
        this.touch = touch;
    }

    /** A router puts a configuration into force. */
    void onAdopted(String router, long before, long version, byte[] json) {
        if (!chain.isChosen(version, json)) {
            violations.add(UNDECIDED, router + " has version " + version + ", which was not chosen like that");
        }
        if (version <= before) {
            violations.add(BACK, router + " goes from " + before + " to " + version);
        }
    }

    /** A configuration was acknowledged to the operator just now: those in touch hold it already. */
    void onAcknowledged(long version, String controller) {
        if (inTouch(controller)) {
            for (String name : simulation.names()) {
                if (simulation.node(name) instanceof RouterNode router && inTouch(name) && router.version() < version) {
                    violations.add(
                            TOLD,
                            name + " does not know version " + version + ", which " + controller + " has acknowledged");
                }
            }
        }
        judgeLater(FleetPlan.APPLY_NANOS, LATE, "version " + version, router -> router.version() >= version);
    }

    /**
     * An instance's drain or leave was acknowledged to it just now; by a controller out of touch it may be in
     * vain.
     */
    void onDrained(String instance, String controller) {
        if (inTouch(controller)) {
            judgeLater(FleetPlan.DRAIN_NANOS, DRAIN, instance + " as leaving", router -> !router.sendsTo(instance));
        }
    }

    /**
     * A heartbeat of an instance that takes requests was acknowledged just now: routers have to send to it.
     *
     * @param takesRequests whether the instance still does
     */
    void onHeard(String instance, String controller, BooleanSupplier takesRequests) {
        if (inTouch(controller)) {
            judgeLater(
                    FleetPlan.APPLY_NANOS,
                    ABSENT,
                    instance + ", which is heard",
                    router -> router.sendsTo(instance) || !takesRequests.getAsBoolean());
        }
    }

    /** Whether the machine's words reach all others in touch, and theirs reach it. */
    boolean inTouch(String machine) {
        return touch.inTouch(machine, simulation.now());
    }

    /** How often a router in touch was looked at. */
    int judged() {
        return judged;
    }

    private void judgeLater(long bound, String rule, String what, Predicate<RouterNode> holds) {
        long since = simulation.now();
        simulation.at(since + bound, () -> {
            for (String name : simulation.names()) {
                SimulatedNode node = simulation.node(name);
                if (node instanceof RouterNode router && touch.inTouch(name, since)) {
                    judged++;
                    if (!holds.test(router)) {
                        violations.add(rule, name + " does not know " + what);
                    }
                }
            }
        });
    }
}
