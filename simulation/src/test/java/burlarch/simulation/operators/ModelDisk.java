package burlarch.simulation.operators;

import burlarch.coordination.register.AcceptorState;

/** Simulated disk of a controller's acceptor. Its contents outlive the process. */
final class ModelDisk {
    private AcceptorState durable = AcceptorState.EMPTY;

    AcceptorState durable() {
        return durable;
    }

    void write(AcceptorState state) {
        durable = state;
    }

    /** Erases the disk. */
    void erase() {
        durable = AcceptorState.EMPTY;
    }
}
