/**
 * Draws the faults of a run and writes them as steps of a scenario.
 *
 * <p>{@link burlarch.simulation.coordination.fault.FaultGenerator} owns the state of one draw;
 * {@link burlarch.simulation.coordination.fault.FaultCooccurrences} counts over the runs of a search. No class here
 * uses a running simulation.
 */
package burlarch.simulation.coordination.fault;
