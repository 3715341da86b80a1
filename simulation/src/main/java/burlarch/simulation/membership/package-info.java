/**
 * Fleets that run the membership protocol and nothing else: scenarios, and figures at several sizes.
 *
 * <p>Runs on the thread that drives the simulation. {@link burlarch.simulation.membership.MembershipFleet} owns the
 * simulation and its counters; each {@link burlarch.simulation.membership.SwimNode} owns its protocol instance.
 */
package burlarch.simulation.membership;
