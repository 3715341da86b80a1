/**
 * The transport of a process in virtual time: event loop, disk executor, connections and membership. They take the
 * place of what module {@code transport} offers a real process.
 *
 * <p>Each object belongs to one process and runs on its {@link burlarch.simulation.transport.SimulatedEventLoop},
 * which the simulation's single thread drives. {@link burlarch.simulation.transport.SimulatedPeerConnections} owns
 * the state of all connections.
 */
package burlarch.simulation.transport;
