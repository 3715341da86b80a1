package burlarch.simulation;

/** Creates the process of a machine. Called once for each start of the machine's process. */
public interface NodeFactory {
    /** Creates a process, which acts only through {@code context} and only from {@link SimulatedNode#start} on. */
    SimulatedNode create(NodeContext context);
}
