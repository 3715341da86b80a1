/**
 * Simulated transport of a process in virtual time: event loop, disk executor, connections and membership. They replace
 * the classes that module {@code transport} provides to a production process.
 *
 * <p>Each object belongs to one process and runs on its {@link burlarch.simulation.transport.SimulatedEventLoop},
 * which the simulation's single thread runs. {@link burlarch.simulation.transport.SimulatedPeerConnections} owns
 * the state of all connections.
 */
package burlarch.simulation.transport;
