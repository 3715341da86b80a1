/**
 * Simulated disks in virtual time, with latency, stalls, full-disk errors, and loss of data that was not synced.
 *
 * <p>A {@link burlarch.simulation.disk.SimulatedDisk} belongs to a machine and outlives its processes. It owns the
 * current image of the files and the log of operations that are not durable yet. It runs on the simulation's thread.
 */
package burlarch.simulation.disk;
