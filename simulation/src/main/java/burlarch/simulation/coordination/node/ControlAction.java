package burlarch.simulation.coordination.node;

import burlarch.coordination.registry.Instance;

/** A call of an operator or an instance to a controller. */
public sealed interface ControlAction {
    /** Replaces the configuration of version {@code ifMatch}. */
    record Put(byte[] body, long ifMatch) implements ControlAction {}

    /** Changes the configuration of version {@code ifMatch}. */
    record Patch(byte[] body, long ifMatch) implements ControlAction {}

    /** Reads the configuration. */
    record Read() implements ControlAction {}

    /** Sets the version of a model's weights that engines have to load. */
    record NameWeights(String model, long version) implements ControlAction {}

    /** Announces an instance and its state. */
    record Announce(Instance instance) implements ControlAction {}

    /** Removes an instance. */
    record Leave(String id) implements ControlAction {}

    /** Returns whether the call changes the configuration. */
    default boolean changesConfiguration() {
        return this instanceof Put || this instanceof Patch;
    }
}
