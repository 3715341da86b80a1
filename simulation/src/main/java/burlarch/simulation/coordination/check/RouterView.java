package burlarch.simulation.coordination.check;

/** What the checkers read of a running router. */
public interface RouterView {
    /** Version of the configuration that the router has applied; 0 before the first. */
    long version();

    /**
     * Whether the router would accept the keys of its configuration from a request that it receives now. False where
     * the
     * validity of keys has no limit, because then no such router is wrong.
     */
    boolean acceptsLimitedKeys(long now);

    /** Whether the router lists the instance as one that takes requests. */
    boolean sendsTo(String instance);

    /** Whether the router has been connected with that controller since its start. */
    boolean hasMet(String controller);
}
