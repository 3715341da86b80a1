/**
 * Parameters of a simulated fleet: its size, machine names and timings. All are immutable, and all other packages of
 * the coordination simulation use them.
 */
package burlarch.simulation.coordination.plan;
