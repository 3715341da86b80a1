package burlarch.simulation.coordination.node;

import burlarch.simulation.Simulation;

/**
 * State that all operators of a fleet share without delay, and the settings that a scenario makes for all of them.
 * Owned by the fleet; used on the simulation's thread only.
 */
public final class SharedOperatorState {
    /** When operators name new weights versions. */
    public enum WeightNaming {
        /** At any time. */
        ALWAYS,
        /** In a part of each period only, so that registrations of engines grow old in between. */
        PERIODICALLY
    }

    private static final long WEIGHTS_PERIOD_NANOS = 20 * Simulation.SECOND;
    private static final long WEIGHTS_SPAN_NANOS = 6 * Simulation.SECOND;

    private final WeightNaming weightNaming;
    private long knownVersion;
    private OperatorChange lastAcknowledged;
    private long lastAcknowledgedNanos;
    private long lastReadNanos;
    private double responseLossProbability;

    /** Creates the state of operators that know of no configuration. */
    public SharedOperatorState(WeightNaming weightNaming) {
        this.weightNaming = weightNaming;
    }

    /** Returns whether an operator may name new weights now. */
    boolean mayNameWeights(long nowNanos) {
        return weightNaming == WeightNaming.ALWAYS || nowNanos % WEIGHTS_PERIOD_NANOS < WEIGHTS_SPAN_NANOS;
    }

    /** Sets the probability with which operators drop responses that have arrived. */
    public void setResponseLossProbability(double probability) {
        responseLossProbability = probability;
    }

    double responseLossProbability() {
        return responseLossProbability;
    }

    void onAcknowledged(OperatorChange acknowledged, long nowNanos) {
        knownVersion = Math.max(knownVersion, acknowledged.change().version());
        lastAcknowledged = acknowledged;
        lastAcknowledgedNanos = nowNanos;
    }

    void onRead(long version, long nowNanos) {
        knownVersion = Math.max(knownVersion, version);
        lastReadNanos = nowNanos;
    }

    /** Returns the newest version that was acknowledged or read; 0 before the first. */
    long knownVersion() {
        return knownVersion;
    }

    /** Returns the change that was acknowledged last; null before the first. */
    OperatorChange lastAcknowledged() {
        return lastAcknowledged;
    }

    /** Returns the virtual time of the last acknowledged change; 0 before the first. */
    public long lastAcknowledgedNanos() {
        return lastAcknowledgedNanos;
    }

    /** Returns the virtual time of the last answered read; 0 before the first. */
    public long lastReadNanos() {
        return lastReadNanos;
    }
}
