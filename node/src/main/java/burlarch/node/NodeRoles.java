package burlarch.node;

/** The roles of processes in the fleet, as they stand in messages between nodes. */
public final class NodeRoles {
    /** Forwards the requests of clients. */
    public static final String ROUTER = "router";
    /** Holds the control state and serves operators. */
    public static final String CONTROLLER = "controller";
    /** Serves operators by naming a controller to them; holds no state. */
    public static final String CONTROL_REDIRECTOR = "control-redirector";

    private NodeRoles() {}
}
