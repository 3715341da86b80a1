package burlarch.simulation.coordination.node;

import burlarch.controller.state.AppliedChange;

/**
 * A change of the configuration as an operator sends it. Sending it again repeats the same change.
 *
 * @param change what controllers remember of it once it was applied
 * @param ifMatch version that it is based on
 */
record OperatorChange(ControlAction action, AppliedChange change, long ifMatch) {}
