/**
 * Checkers of a simulated fleet: each verifies some of the properties in {@link
 * burlarch.simulation.coordination.check.Rule}.
 *
 * <p>Simulated nodes report events to the checkers of {@link burlarch.simulation.coordination.check.FleetCheckers},
 * which owns them and the log of violations. Checkers only observe the fleet and never change it. They run on the
 * thread that drives the simulation.
 */
package burlarch.simulation.coordination.check;
