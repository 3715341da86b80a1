package burlarch.simulation.coordination.check;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.plan.FleetTimings;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Verifies what routers apply, and when: {@link Rule#ROUTER_APPLIES_COMMITTED}, {@link Rule#ROUTER_VERSION_RISES},
 * {@link Rule#ROUTER_APPLIES_IN_TIME}, {@link Rule#ROUTERS_NOTIFIED_FIRST}, {@link Rule#DRAIN_IN_TIME} and
 * {@link Rule#HEARTBEAT_IN_TIME}; {@link Rule#REVOKED_IN_TIME} holds for all routers. The rules of time hold for
 * routers that {@link Connectivity} calls connected.
 */
public final class RouterChecker {
    private final Simulation simulation;
    private final ViolationLog violations;
    private final CommittedChainChecker chain;
    private final Connectivity connectivity;
    private int checkCount;

    RouterChecker(
            Simulation simulation, ViolationLog violations, CommittedChainChecker chain, Connectivity connectivity) {
        this.simulation = simulation;
        this.violations = violations;
        this.chain = chain;
        this.connectivity = connectivity;
    }

    /**
     * A router applies a configuration.
     *
     * @param before version that it had applied until now
     */
    public void onConfigurationApplied(String router, long before, long version, byte[] json) {
        if (!chain.isCommitted(version, json)) {
            violations.add(
                    Rule.ROUTER_APPLIES_COMMITTED,
                    router + " has version " + version + ", which was not committed like that");
        }
        if (version <= before) {
            violations.add(Rule.ROUTER_VERSION_RISES, router + " goes from " + before + " to " + version);
        }
    }

    /** A change was acknowledged to the operator just now: connected routers must have applied it already. */
    public void onChangeAcknowledged(long version, String controller) {
        if (isConnected(controller)) {
            forEachConnectedRouter(simulation.now(), (name, router) -> {
                if (router.version() < version) {
                    violations.add(
                            Rule.ROUTERS_NOTIFIED_FIRST,
                            name + " does not know version " + version + ", which " + controller + " has acknowledged");
                }
            });
        }
        checkRevocationAfter(FleetTimings.REVOKE_LIMIT_NANOS, version);
        checkRevocationAfter(FleetTimings.REVOKE_LIMIT_NANOS + FleetTimings.APPLY_LIMIT_NANOS, version);
        checkRoutersAfter(
                FleetTimings.APPLY_LIMIT_NANOS,
                Rule.ROUTER_APPLIES_IN_TIME,
                "version " + version,
                router -> router.version() >= version);
    }

    /**
     * An instance's drain or leave was acknowledged to it just now. An acknowledgement by a controller that is not
     * connected demands nothing: it may not reach the routers.
     */
    public void onEndAcknowledged(String instance, String controller) {
        if (isConnected(controller)) {
            checkRoutersAfter(
                    FleetTimings.DRAIN_LIMIT_NANOS,
                    Rule.DRAIN_IN_TIME,
                    instance + " as leaving",
                    router -> !router.sendsTo(instance));
        }
    }

    /**
     * A heartbeat of an instance that takes requests was acknowledged just now: routers have to list it.
     *
     * @param stillTakesRequests whether the instance takes requests when it is checked
     */
    public void onHeartbeatAcknowledged(String instance, String controller, BooleanSupplier stillTakesRequests) {
        if (isConnected(controller)) {
            checkRoutersAfter(
                    FleetTimings.APPLY_LIMIT_NANOS,
                    Rule.HEARTBEAT_IN_TIME,
                    instance + ", which is heard",
                    router -> router.sendsTo(instance) || !stillTakesRequests.getAsBoolean());
        }
    }

    /** Whether a machine is connected now. */
    public boolean isConnected(String machine) {
        return connectivity.isConnected(machine, simulation.now());
    }

    /** How often a connected router was checked some time after an acknowledgement. */
    public int checkCount() {
        return checkCount;
    }

    /** Holds for all routers that run, connected or not. */
    private void checkRevocationAfter(long limitNanos, long version) {
        simulation.scheduleAfter(limitNanos + 1, () -> {
            for (String name : simulation.machineNames()) {
                simulation
                        .node(name, RouterView.class)
                        .filter(router -> router.version() < version && router.acceptsLimitedKeys(simulation.now()))
                        .ifPresent(router -> violations.add(
                                Rule.REVOKED_IN_TIME,
                                name + " accepts the keys of version " + router.version() + ", not of " + version));
            }
        });
    }

    private void checkRoutersAfter(long limitNanos, Rule rule, String what, Predicate<RouterView> holds) {
        long since = simulation.now();
        simulation.schedule(
                since + limitNanos,
                () -> forEachConnectedRouter(since, (name, router) -> {
                    checkCount++;
                    if (!holds.test(router)) {
                        violations.add(rule, name + " does not know " + what);
                    }
                }));
    }

    private void forEachConnectedRouter(long sinceNanos, BiConsumer<String, RouterView> action) {
        for (String name : simulation.machineNames()) {
            simulation
                    .node(name, RouterView.class)
                    .filter(router -> connectivity.isConnected(name, sinceNanos))
                    .ifPresent(router -> action.accept(name, router));
        }
    }
}
