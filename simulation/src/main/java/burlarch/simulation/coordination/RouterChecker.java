package burlarch.simulation.coordination;

import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/** What holds at routers: only what was chosen, never back, and in time where they are in touch. */
final class RouterChecker {
    static final String UNDECIDED = "undecided";
    static final String BACK = "back";
    static final String LATE = "late";
    static final String TOLD = "told";
    static final String DRAIN = "drain";
    static final String ABSENT = "absent";

    private final Simulation simulation;
    private final ViolationLog violations;
    private final ChosenChainChecker chain;
    private final Connectivity touch;
    private int checkCount;

    RouterChecker(Simulation simulation, ViolationLog violations, ChosenChainChecker chain, Connectivity touch) {
        this.simulation = simulation;
        this.violations = violations;
        this.chain = chain;
        this.touch = touch;
    }

    /** A router puts a configuration into force. */
    void onConfigurationApplied(String router, long before, long version, byte[] json) {
        if (!chain.isChosen(version, json)) {
            violations.add(UNDECIDED, router + " has version " + version + ", which was not chosen like that");
        }
        if (version <= before) {
            violations.add(BACK, router + " goes from " + before + " to " + version);
        }
    }

    /** A configuration was acknowledged to the operator just now: those in touch hold it already. */
    void onChangeAcknowledged(long version, String controller) {
        if (isConnected(controller)) {
            for (String name : simulation.machineNames()) {
                if (simulation.node(name) instanceof RouterNode router
                        && isConnected(name)
                        && router.version() < version) {
                    violations.add(
                            TOLD,
                            name + " does not know version " + version + ", which " + controller + " has acknowledged");
                }
            }
        }
        checkRoutersAfter(
                FleetPlan.APPLY_LIMIT_NANOS, LATE, "version " + version, router -> router.version() >= version);
    }

    /**
     * An instance's drain or leave was acknowledged to it just now; by a controller out of touch it may be in
     * vain.
     */
    void onEndAcknowledged(String instance, String controller) {
        if (isConnected(controller)) {
            checkRoutersAfter(
                    FleetPlan.DRAIN_LIMIT_NANOS, DRAIN, instance + " as leaving", router -> !router.sendsTo(instance));
        }
    }

    /**
     * A heartbeat of an instance that takes requests was acknowledged just now: routers have to send to it.
     *
     * @param takesRequests whether the instance still does
     */
    void onHeartbeatAcknowledged(String instance, String controller, BooleanSupplier takesRequests) {
        if (isConnected(controller)) {
            checkRoutersAfter(
                    FleetPlan.APPLY_LIMIT_NANOS,
                    ABSENT,
                    instance + ", which is heard",
                    router -> router.sendsTo(instance) || !takesRequests.getAsBoolean());
        }
    }

    /** Whether the machine's words reach all others in touch, and theirs reach it. */
    boolean isConnected(String machine) {
        return touch.isConnected(machine, simulation.now());
    }

    /** How often a router in touch was looked at. */
    int checkCount() {
        return checkCount;
    }

    private void checkRoutersAfter(long bound, String rule, String what, Predicate<RouterNode> holds) {
        long since = simulation.now();
        simulation.schedule(since + bound, () -> {
            for (String name : simulation.machineNames()) {
                SimulatedNode node = simulation.node(name);
                if (node instanceof RouterNode router && touch.isConnected(name, since)) {
                    checkCount++;
                    if (!holds.test(router)) {
                        violations.add(rule, name + " does not know " + what);
                    }
                }
            }
        });
    }
}
