package burlarch.simulation.coordination;

import burlarch.controller.ControllerRuntime;
import burlarch.controller.api.ControlService;
import burlarch.engine.EngineControlClient;
import burlarch.router.control.ControllerLinks;
import burlarch.simulation.NodeContext;
import burlarch.storage.Disk;
import burlarch.transport.EventLoop;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;
import java.util.Collection;

/** Parts of controllers and routers that a test may put others in place of; as they are, all is real. */
public interface ComponentOverrides {
    /** Nothing is replaced. */
    ComponentOverrides NONE = new ComponentOverrides() {};

    /** Whether disks sync what they say that they synced. */
    default boolean honestDisks() {
        return true;
    }

    /** The disk of a machine, as its process sees it; asked at each start of a process. */
    default Disk disk(String machine, Disk real) {
        return real;
    }

    /** Identity of a disk that came back empty. */
    default String identity(String address, String fresh) {
        return fresh;
    }

    /** The controller's decisions. */
    default ControllerRuntime core(EventLoop loop, NodeContext context) {
        return new ControllerRuntime(loop);
    }

    /** How long the controller on that machine believes that a lease lasts. */
    default long leaseNanos(String machine, long real) {
        return real;
    }

    /** What other nodes tell a controller. */
    default PeerConnectionListener controllerListener(PeerConnectionListener real) {
        return real;
    }

    /** What controllers tell a router. */
    default PeerConnectionListener routerListener(PeerConnectionListener real) {
        return real;
    }

    /** What a router puts into effect. */
    default ControllerLinks.UpdateHandler routerEffects(ControllerLinks.UpdateHandler real) {
        return real;
    }

    /** A controller's calls to engines. */
    default EngineControlClient engines(EngineControlClient real) {
        return real;
    }

    /**
     * The operator's calls.
     *
     * @param core the controller that takes them
     * @param routers connections to the routers, as they are at the time of a call
     */
    default ControlService calls(ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
        return real;
    }
}
