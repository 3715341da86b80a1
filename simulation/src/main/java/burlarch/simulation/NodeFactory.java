package burlarch.simulation;

/** Makes the process of a machine anew for each of its starts. */
public interface NodeFactory {
    SimulatedNode create(NodeContext context);
}
