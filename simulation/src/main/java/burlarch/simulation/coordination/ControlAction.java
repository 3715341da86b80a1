package burlarch.simulation.coordination;

import burlarch.coordination.registry.Instance;

/** What operators and instances ask of controllers. */
sealed interface ControlAction {
    record Put(byte[] body, long ifMatch) implements ControlAction {}

    record Patch(byte[] body, long ifMatch) implements ControlAction {}

    record Read() implements ControlAction {}

    record NameWeights(String model, long version) implements ControlAction {}

    record Announce(Instance instance) implements ControlAction {}

    record Leave(String id) implements ControlAction {}
}
