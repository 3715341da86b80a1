package burlarch.simulation.coordination.check;

/**
 * Properties of a fleet that the checkers verify. Reports, file names and measurements refer to a rule by its id, so
 * the ids are stable.
 */
public enum Rule {
    /** Committed values form one chain: each holds all that values of lower proposal numbers hold. */
    COMMITTED_CHAIN("chain"),
    /**
     * An acknowledged change is committed, and no read returns a version older than one acknowledged before it began.
     */
    ACKNOWLEDGED_IS_DURABLE("lost"),
    /** A rejected change is never applied, and never acknowledged. */
    REJECTED_IS_FINAL("refused"),
    /** At most one of the changes based on the same version is acknowledged. */
    ONE_CHANGE_PER_BASE("race"),
    /** An invalid change is never acknowledged. */
    INVALID_IS_REJECTED("invalid"),
    /** Without faults a call is answered within {@code FleetTimings.CALL_LIMIT_NANOS}. */
    TIMELY_ANSWER("slow"),
    /** A router applies only configurations that were committed. */
    ROUTER_APPLIES_COMMITTED("undecided"),
    /** A router never goes back to an older configuration. */
    ROUTER_VERSION_RISES("back"),
    /** A connected router applies an acknowledged configuration within {@code FleetTimings.APPLY_LIMIT_NANOS}. */
    ROUTER_APPLIES_IN_TIME("late"),
    /** Connected routers have applied a configuration before its change is acknowledged to the operator. */
    ROUTERS_NOTIFIED_FIRST("told"),
    /** No router, connected or not, accepts the keys of a configuration that was replaced longer ago than allowed. */
    REVOKED_IN_TIME("revoked"),
    /** Connected routers know of an acknowledged drain or leave within {@code FleetTimings.DRAIN_LIMIT_NANOS}. */
    DRAIN_IN_TIME("drain"),
    /** Connected routers list an instance soon after a connected controller acknowledged its heartbeat. */
    HEARTBEAT_IN_TIME("absent"),
    /** A live instance that announces itself to any controller that a router reaches stays listed there. */
    LIVE_INSTANCE_LISTED("instance"),
    /** Routers do not list an instance again after its drain or leave was acknowledged. */
    ENDED_INSTANCE_REMOVED("returned"),
    /** One lease holder at a time sends orders to engines, and a new one only after the previous lease has expired. */
    ONE_LEASE_HOLDER("one"),
    /** No holder sends the same order twice. */
    NO_DUPLICATE_ORDER("twice"),
    /** No engine accepts an order for older weights than it has loaded or was ordered to load. */
    NEWER_WEIGHTS_KEPT("older"),
    /** After all faults have ended, a change and a read succeed. */
    PROGRESS("stuck"),
    /** No component throws an exception that its caller does not expect. */
    NO_UNEXPECTED_EXCEPTION("failure");

    private final String id;

    Rule(String id) {
        this.id = id;
    }

    /** Returns the stable name of the rule in reports and file names. */
    public String id() {
        return id;
    }
}
