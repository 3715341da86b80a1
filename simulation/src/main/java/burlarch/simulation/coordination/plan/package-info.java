/**
 * The size, the names and the times of a simulated fleet: immutable values, which all other packages of the
 * coordination simulation use.
 */
package burlarch.simulation.coordination.plan;
