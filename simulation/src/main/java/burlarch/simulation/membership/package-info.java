/**
 * Simulated fleets that run only the membership protocol: scenarios, and measurements at several fleet sizes.
 *
 * <p>Runs on the thread that drives the simulation. {@link burlarch.simulation.membership.MembershipFleet} owns the
 * simulation and its counters; each {@link burlarch.simulation.membership.SwimNode} owns its protocol instance.
 */
package burlarch.simulation.membership;
