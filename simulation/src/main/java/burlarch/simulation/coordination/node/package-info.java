/**
 * Processes of a simulated fleet: the real controller and a router's real links to controllers, with simulated
 * operators and instances, and the messages of the calls between them.
 *
 * <p>Each process runs on its own event loop, which the simulation's single thread drives, and owns its state.
 * Processes share a {@link burlarch.simulation.coordination.node.FleetEnvironment}; operators also share a {@link
 * burlarch.simulation.coordination.node.SharedOperatorState}. Nodes report what they do to the checkers.
 */
package burlarch.simulation.coordination.node;
