package burlarch.simulation.coordination.fault;

import java.util.List;

/**
 * The faults of one run.
 *
 * @param steps lines of a scenario
 * @param occurrences the faults that the steps stand for
 */
public record FaultSchedule(List<String> steps, List<FaultOccurrence> occurrences) {}
