package burlarch.fleet.controller;

import burlarch.fleet.node.NodeSettings;

/** The controller: takes the operator's calls and keeps what the fleet agreed on. */
public final class ControllerProgram {
    private ControllerProgram() {
    }

    /** Starts the controller; it lives on by its own threads. */
    public static void run(NodeSettings settings) throws Exception {
        throw new UnsupportedOperationException("no controller for " + settings.nodeName() + " yet");
    }
}
