package burlarch.node;

/** Names of the roles of processes in the fleet, as written in messages between nodes. */
public final class NodeRoles {
    /** Forwards the requests of clients. */
    public static final String ROUTER = "router";
    /** Holds the control state and serves operators. */
    public static final String CONTROLLER = "controller";
    /** Redirects operators to a controller; holds no state. */
    public static final String CONTROL_REDIRECTOR = "control-redirector";

    private NodeRoles() {}
}
