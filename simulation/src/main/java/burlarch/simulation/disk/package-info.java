/**
 * Disks of machines in virtual time: latency, stalls, full disks, and what a crash leaves of what was not synced.
 *
 * <p>A {@link burlarch.simulation.disk.SimulatedDisk} belongs to a machine and outlives its processes. It owns the
 * current image of the files and the log of operations that are not durable yet. It runs on the simulation's thread.
 */
package burlarch.simulation.disk;
