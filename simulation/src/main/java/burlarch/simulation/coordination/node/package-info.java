/**
 * The processes of a simulated fleet: the real controller and the real link of a router to controllers, with
 * simulated operators and instances around them, and the messages of calls between them.
 *
 * <p>Each process runs on its own event loop, which the simulation's single thread drives, and owns its state.
 * Processes share a {@link burlarch.simulation.coordination.node.FleetEnvironment}; operators also share a {@link
 * burlarch.simulation.coordination.node.SharedOperatorState}. Nodes report what they do to the checkers.
 */
package burlarch.simulation.coordination.node;
