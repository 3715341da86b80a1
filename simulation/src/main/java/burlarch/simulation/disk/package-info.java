/** Disks of machines in virtual time: what lasts, what is lost with the power, what waits. */
package burlarch.simulation.disk;
