package burlarch.simulation.coordination.node;

import burlarch.controller.state.AppliedChange;

/**
 * Configuration change as an operator sends it. Sending it again retries the same change.
 *
 * @param change record that controllers keep of the change once it is applied
 * @param ifMatch version that it is based on
 */
record OperatorChange(ControlAction action, AppliedChange change, long ifMatch) {}
