package burlarch.fleet.router;

import burlarch.fleet.node.NodeSettings;

/** The router: takes requests of clients and sends them on. */
public final class RouterProgram {
    private RouterProgram() {
    }

    /** Starts the router; it lives on by its own threads. */
    public static void run(NodeSettings settings) throws Exception {
        throw new UnsupportedOperationException("no router for " + settings.nodeName() + " yet");
    }
}
