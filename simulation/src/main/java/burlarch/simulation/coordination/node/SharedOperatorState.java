package burlarch.simulation.coordination.node;

import burlarch.simulation.Simulation;

/**
 * What all operators of a fleet know together, as if they told one another at once, and what a scenario sets for all of
 * them. Owned by the fleet; runs on the simulation's thread.
 */
public final class SharedOperatorState {
    /** How often operators name new weights. */
    public enum WeightNaming {
        /** At any time. */
        ALWAYS,
        /** In a part of each period: in between registrations of engines grow old. */
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

    /** Operators that know of no configuration. */
    public SharedOperatorState(WeightNaming weightNaming) {
        this.weightNaming = weightNaming;
    }

    /** Whether an operator may name new weights now. */
    boolean mayNameWeights(long nowNanos) {
        return weightNaming == WeightNaming.ALWAYS || nowNanos % WEIGHTS_PERIOD_NANOS < WEIGHTS_SPAN_NANOS;
    }

    /** From now on responses to operators are lost with this probability after they have arrived. */
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

    /** Newest version that was acknowledged or read; 0 before the first. */
    long knownVersion() {
        return knownVersion;
    }

    /** The change that was acknowledged last; null before the first. */
    OperatorChange lastAcknowledged() {
        return lastAcknowledged;
    }

    /** When the last change was acknowledged; 0 before the first. */
    public long lastAcknowledgedNanos() {
        return lastAcknowledgedNanos;
    }

    /** When the last read was answered; 0 before the first. */
    public long lastReadNanos() {
        return lastReadNanos;
    }
}
