package burlarch.simulation.coordination.plan;

import burlarch.simulation.Simulation;

/** Timing parameters of a simulated fleet, and the time limits that its checkers enforce. */
public final class FleetTimings {
    /** After a fault has begun or ended at a machine, the checkers require nothing of it for this time. */
    public static final long SETTLING_NANOS = 3 * Simulation.SECOND;

    /** Without faults an operator's call is answered within this time. */
    public static final long CALL_LIMIT_NANOS = 4 * Simulation.SECOND;

    /** After its acknowledgement a change, or a heartbeat, is applied at connected routers within this time. */
    public static final long APPLY_LIMIT_NANOS = Simulation.SECOND;

    /**
     * After its acknowledgement a change is in effect at all routers that accept keys, connected or not, within this
     * time.
     */
    public static final long REVOKE_LIMIT_NANOS = 5 * Simulation.SECOND;

    /** After its acknowledgement a drain is known to connected routers within this time. */
    public static final long DRAIN_LIMIT_NANOS = Simulation.SECOND;

    /** Duration of a lease of a singleton role. */
    public static final long LEASE_NANOS = 3 * Simulation.SECOND;

    /** Interval at which instances announce themselves. */
    public static final long HEARTBEAT_INTERVAL_NANOS = 1_200 * Simulation.MILLISECOND;

    /** Time by which engines have to load newly named weights. */
    public static final long VERSION_LIMIT_MILLIS = 10_000;

    /** How long before the end of a run all faults are ended. */
    public static final int FAULT_FREE_SECONDS = 14;

    /** How long before the end of a run a closing fault has ended, at the latest. */
    public static final int CLOSING_FAULT_SECONDS = 10;

    private FleetTimings() {}
}
