/**
 * A deterministic discrete-event simulation: virtual time, machines with processes, and a faulty network.
 *
 * <p>Everything runs on the one thread that calls {@link burlarch.simulation.Simulation}; no class here is
 * thread-safe or reads a real clock. {@code Simulation} owns the event queue, the network and the machines; each
 * machine owns its clocks and its process. The other packages build on this one: simulated disks, the transport's
 * event loop and connections, scenarios as text, and the fleets under test.
 */
package burlarch.simulation;
