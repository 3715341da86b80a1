/**
 * Loops, disk threads and connections between nodes in virtual time, in place of those of module transport.
 */
package burlarch.simulation.link;
