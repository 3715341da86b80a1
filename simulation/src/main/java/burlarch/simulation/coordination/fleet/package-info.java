/**
 * A simulated fleet as a whole, and the steps of scenarios that act on it.
 *
 * <p>{@link burlarch.simulation.coordination.fleet.CoordinationFleet} owns the simulation, the disks, the checkers and
 * the list of controllers in use. The step handlers hold no state of their own except the active message faults.
 * Everything runs on the thread that drives the simulation.
 */
package burlarch.simulation.coordination.fleet;
