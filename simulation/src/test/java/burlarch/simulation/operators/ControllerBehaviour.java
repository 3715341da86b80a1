package burlarch.simulation.operators;

import burlarch.controller.state.ChangeResult;
import burlarch.controller.state.StateChanges;
import burlarch.controller.state.SystemState;

/** Behaviour of a modelled controller; a planted fault overrides one method. */
class ControllerBehaviour {
    /** Returns the result of applying an operator's change to the state. */
    ChangeResult apply(OperatorChange order, SystemState state) {
        return order.applyTo(state);
    }

    /** Returns the result of naming weights in the state. */
    ChangeResult setWeightsVersion(SystemState state, String model, long version) {
        return StateChanges.setWeightsVersion(state, model, version);
    }

    /** Returns the status of a change whose proposal ended with an unknown outcome. */
    int statusOfUnknown() {
        return ControllerModel.UNCLEAR;
    }

    /** Returns whether a rejection is sent before the value that it is based on is known as committed. */
    boolean rejectsOnUncommitted() {
        return false;
    }

    /** Returns whether a read returns the newest value seen, committed or not. */
    boolean readsUncommitted() {
        return false;
    }

    /** Returns whether a read uses only the controller's own disk. */
    boolean readsOwnDisk() {
        return false;
    }

    /** Returns whether the acceptor responds before its state is durable. */
    boolean respondsBeforeSync() {
        return false;
    }

    /** Returns whether a restart erases the disk but keeps its identity. */
    boolean erasesDiskOnRestart() {
        return false;
    }
}
