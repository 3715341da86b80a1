package burlarch.simulation.coordination;

import burlarch.fleet.controller.ControllerCore;
import burlarch.fleet.controller.api.ControlService;
import burlarch.transport.Link;
import burlarch.transport.Loop;
import java.util.Collection;

/** Parts of a controller that a test may put others in place of; as they are, all is real. */
public interface Doubles {
    /** Nothing is replaced. */
    Doubles NONE = new Doubles() {
    };

    /** Whether disks sync what they say that they synced. */
    default boolean honestDisks() {
        return true;
    }

    /** Identity of a disk that came back empty. */
    default String identity(String address, String fresh) {
        return fresh;
    }

    /** The controller's decisions. */
    default ControllerCore core(Loop loop) {
        return new ControllerCore(loop);
    }

    /** How long a controller believes that a lease lasts. */
    default long leaseNanos(long real) {
        return real;
    }

    /**
     * The operator's calls.
     *
     * @param routers connections to the routers, as they are at the time of a call
     */
    default ControlService calls(ControlService real, Collection<Link> routers) {
        return real;
    }
}
