package burlarch.simulation.coordination.check;

import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.plan.FleetTimings;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Checker of what routers apply, and when: {@link Rule#ROUTER_APPLIES_COMMITTED}, {@link Rule#ROUTER_VERSION_RISES},
 * {@link Rule#ROUTER_APPLIES_IN_TIME}, {@link Rule#ROUTERS_NOTIFIED_FIRST}, {@link Rule#DRAIN_IN_TIME} and
 * {@link Rule#HEARTBEAT_IN_TIME}; {@link Rule#REVOKED_IN_TIME} applies to all routers. The other time limits apply
 * only to routers that are connected as {@link Connectivity} defines it.
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
     * Checks a configuration that a router applies.
     *
     * @param previousVersion version that it had applied until now
     */
    public void onConfigurationApplied(String router, long previousVersion, long version, byte[] json) {
        if (!chain.isCommitted(version, json)) {
            violations.add(
                    Rule.ROUTER_APPLIES_COMMITTED,
                    router + " has version " + version + ", which was not committed with this content");
        }
        if (version <= previousVersion) {
            violations.add(Rule.ROUTER_VERSION_RISES, router + " goes from " + previousVersion + " to " + version);
        }
    }

    /**
     * Checks the routers after a change was acknowledged to the operator just now. Connected routers must have applied
     * the change already.
     */
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
     * Schedules the check of an instance's drain or leave that was acknowledged to it just now. An acknowledgement by a
     * controller that is not connected is not checked, because that controller may not reach the routers.
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
     * Schedules the check that routers list an instance that takes requests and whose heartbeat was acknowledged just
     * now.
     *
     * @param stillTakesRequests returns whether the instance still takes requests at the time of the check
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

    /** Returns whether a machine is connected now. */
    public boolean isConnected(String machine) {
        return connectivity.isConnected(machine, simulation.now());
    }

    /** Returns how many delayed checks of a connected router were made after acknowledgements. */
    public int checkCount() {
        return checkCount;
    }

    /** Schedules the check of revoked keys at all running routers, connected or not. */
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

    private void checkRoutersAfter(long limitNanos, Rule rule, String fact, Predicate<RouterView> condition) {
        long since = simulation.now();
        simulation.schedule(
                since + limitNanos,
                () -> forEachConnectedRouter(since, (name, router) -> {
                    checkCount++;
                    if (!condition.test(router)) {
                        violations.add(rule, name + " does not know " + fact);
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
