/**
 * The transport of a process in virtual time: event loop, disk executor, connections and membership. They take the
 * place of what module {@code transport} offers a real process.
 *
 * <p>Each object belongs to one process and runs on its {@link burlarch.simulation.link.SimulatedLoop}, which the
 * simulation's single thread drives. {@link burlarch.simulation.link.SimulatedLinks} owns the state of all connections.
 */
package burlarch.simulation.link;
