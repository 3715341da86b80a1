package burlarch.simulation;

/** Factory for the process of a machine; called once for each start. */
public interface NodeFactory {
    /** Creates a process that acts only through {@code context}, and not before {@link SimulatedNode#start}. */
    SimulatedNode create(NodeContext context);
}
