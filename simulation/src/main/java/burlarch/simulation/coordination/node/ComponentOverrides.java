package burlarch.simulation.coordination.node;

import burlarch.controller.ControllerRuntime;
import burlarch.controller.api.ControlService;
import burlarch.engine.EngineControlClient;
import burlarch.router.control.ControllerLinks;
import burlarch.simulation.NodeContext;
import burlarch.simulation.disk.SimulatedDisk;
import burlarch.storage.Disk;
import burlarch.transport.EventLoop;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;
import java.util.Collection;
import java.util.OptionalLong;

/**
 * Factory of substitutes for components of controllers and routers: test doubles that inject a fault or observe a
 * component. Each method returns the real component unless it is overridden.
 */
public interface ComponentOverrides {
    /** Overrides nothing: every component is the real one. */
    ComponentOverrides NONE = new ComponentOverrides() {};

    /** Returns how the disks of controllers handle a sync. */
    default SimulatedDisk.SyncMode diskSyncMode() {
        return SimulatedDisk.SyncMode.HONEST;
    }

    /** Returns the disk of a machine as its process sees it. Called at each start of a process. */
    default Disk disk(String machine, Disk real) {
        return real;
    }

    /** Returns the identity to give to an empty disk; {@code fresh} is a new random one. */
    default String diskIdentity(String address, String fresh) {
        return fresh;
    }

    /** Creates the controller's runtime. */
    default ControllerRuntime controllerCore(EventLoop loop, NodeContext context) {
        return new ControllerRuntime(loop);
    }

    /** Returns the lease duration that the controller on that machine assumes, in nanoseconds. */
    default long leaseNanos(String machine, long real) {
        return real;
    }

    /** Returns the listener for connections of other nodes at a controller. */
    default PeerConnectionListener controllerListener(PeerConnectionListener real) {
        return real;
    }

    /**
     * Returns how long routers accept keys after the configuration was confirmed, in nanoseconds; empty for no limit.
     */
    default OptionalLong keyValidityNanos() {
        return OptionalLong.empty();
    }

    /** Returns whether a router accepts keys; {@code real} is the real decision. */
    default boolean acceptsKeys(boolean real) {
        return real;
    }

    /** Returns the listener for connections of controllers at a router. */
    default PeerConnectionListener routerListener(PeerConnectionListener real) {
        return real;
    }

    /** Returns the handler that applies configurations and instances at a router. */
    default ControllerLinks.UpdateHandler routerEffects(ControllerLinks.UpdateHandler real) {
        return real;
    }

    /** Returns the client for a controller's calls to engines. */
    default EngineControlClient engineOrders(EngineControlClient real) {
        return real;
    }

    /**
     * Returns the service that handles the calls of operators and instances at a controller.
     *
     * @param core runtime of the controller that receives the calls
     * @param routers live view of the connections to the routers
     */
    default ControlService controlService(
            ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
        return real;
    }
}
