package burlarch.node;

/** What processes do in the fleet, as they tell one another. */
public final class NodeRoles {
    /** Takes requests of clients. */
    public static final String ROUTER = "router";
    /** Keeps the control state and serves the operator. */
    public static final String CONTROLLER = "controller";

    private NodeRoles() {}
}
