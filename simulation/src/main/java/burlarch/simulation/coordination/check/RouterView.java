package burlarch.simulation.coordination.check;

/** Read-only view of a running router for the checkers. */
public interface RouterView {
    /** Returns the version of the configuration that the router has applied; 0 before the first. */
    long version();

    /**
     * Returns whether the router would accept the keys of its configuration from a request that it receives now. False
     * if the validity of keys has no time limit, because then a router with an old configuration violates no rule.
     */
    boolean acceptsLimitedKeys(long now);

    /** Returns whether the router lists the instance as one that takes requests. */
    boolean sendsTo(String instance);

    /** Returns whether the router has had a connection with that controller since the router's start. */
    boolean hasMet(String controller);
}
