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
 * Substitutes for components of controllers and routers: test doubles, by which a test plants a fault or observes a
 * component. Each method gets the real component and returns it unless it is overridden.
 */
public interface ComponentOverrides {
    /** Every component is the real one. */
    ComponentOverrides NONE = new ComponentOverrides() {};

    /** What the disks of controllers do when they are told to sync. */
    default SimulatedDisk.SyncMode diskSyncMode() {
        return SimulatedDisk.SyncMode.HONEST;
    }

    /** The disk of a machine, as its process sees it. Called at each start of a process. */
    default Disk disk(String machine, Disk real) {
        return real;
    }

    /** Identity of a disk that is found empty. */
    default String diskIdentity(String address, String fresh) {
        return fresh;
    }

    /** The controller's logic. */
    default ControllerRuntime controllerCore(EventLoop loop, NodeContext context) {
        return new ControllerRuntime(loop);
    }

    /** How long the controller on that machine takes a lease to last. */
    default long leaseNanos(String machine, long real) {
        return real;
    }

    /** What takes the messages of other nodes at a controller. */
    default PeerConnectionListener controllerListener(PeerConnectionListener real) {
        return real;
    }

    /** For how long routers accept keys after the configuration was confirmed, in nanoseconds; empty for no limit. */
    default OptionalLong keyValidityNanos() {
        return OptionalLong.empty();
    }

    /** Whether a router accepts keys; {@code real} is the real decision. */
    default boolean acceptsKeys(boolean real) {
        return real;
    }

    /** What takes the messages of controllers at a router. */
    default PeerConnectionListener routerListener(PeerConnectionListener real) {
        return real;
    }

    /** What applies configurations and instances at a router. */
    default ControllerLinks.UpdateHandler routerEffects(ControllerLinks.UpdateHandler real) {
        return real;
    }

    /** A controller's calls to engines. */
    default EngineControlClient engineOrders(EngineControlClient real) {
        return real;
    }

    /**
     * What handles the calls of operators and instances at a controller.
     *
     * @param core the controller that gets the calls
     * @param routers connections to the routers, as they are at the time of a call
     */
    default ControlService controlService(
            ControlService real, ControllerRuntime core, Collection<PeerConnection> routers) {
        return real;
    }
}
