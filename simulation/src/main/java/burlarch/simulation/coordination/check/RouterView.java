package burlarch.simulation.coordination.check;

/** What the checkers read of a running router. */
public interface RouterView {
    /** Version of the configuration that the router has applied; 0 before the first. */
    long version();

    /** Whether the router lists the instance as one that takes requests. */
    boolean sendsTo(String instance);

    /** Whether the router has been connected with that controller since its start. */
    boolean hasMet(String controller);
}
