package burlarch.simulation.operators;

import burlarch.coordination.register.RegisterMessage;

/** Messages between modelled operators and controllers. */
final class ModelMessages {
    private ModelMessages() {}

    /** A register message with the name of the proposal of its sender or receiver that it belongs to. */
    record RegisterEnvelope(String proposal, RegisterMessage message) {}

    /** A configuration change requested by an operator. */
    record Order(long call, OperatorChange order) {}

    /** A request to name weights. */
    record NameWeights(long call, long version) {}

    /** A request to read the configuration. */
    record Read(long call) {}

    /** The response to a call; {@code configuration} is null except for a successful read. */
    record Response(long call, int status, byte[] configuration, long weights) {}
}
