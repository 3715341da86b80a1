package burlarch.simulation.coordination.planted;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceRegistry;
import burlarch.coordination.registry.InstanceState;
import burlarch.coordination.registry.MergedInstanceView;
import burlarch.router.control.ControllerLinks;
import burlarch.simulation.coordination.node.ComponentOverrides;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.InstancesUpdate;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;

/** Component overrides that each plant one fault in how a router applies updates from controllers. */
final class PlantedRouterFaults {
    private PlantedRouterFaults() {}

    /** When a connection is lost, the router applies the previous configuration again. */
    static final class ReappliesPreviousConfiguration implements ComponentOverrides {
        @Override
        public ControllerLinks.UpdateHandler routerEffects(ControllerLinks.UpdateHandler real) {
            return new ControllerLinks.UpdateHandler() {
                private long version;
                private byte[] json;
                private long previousVersion;
                private byte[] previousJson;

                @Override
                public boolean onConfiguration(long newVersion, byte[] newJson) {
                    previousVersion = version;
                    previousJson = json;
                    version = newVersion;
                    json = newJson;
                    return real.onConfiguration(newVersion, newJson);
                }

                @Override
                public void onInstances(MergedInstanceView mergedView) {
                    real.onInstances(mergedView);
                }

                @Override
                public void onRouterCount(int liveRouters) {
                    real.onRouterCount(liveRouters);
                }

                @Override
                public void onControllerLost() {
                    if (previousVersion > 0) {
                        real.onConfiguration(previousVersion, previousJson);
                    }
                    real.onControllerLost();
                }

                @Override
                public void onPrefixCacheBatch(byte[] batch) {
                    real.onPrefixCacheBatch(batch);
                }
            };
        }
    }

    /** If one controller times out an instance, the router removes the instance permanently. */
    static final class TreatsTimeoutAsLeave implements ComponentOverrides {
        @Override
        public PeerConnectionListener routerListener(PeerConnectionListener real) {
            return new ForwardingConnectionListener(real) {
                @Override
                public void onMessage(PeerConnection connection, NodeMessage message) {
                    super.onMessage(
                            connection,
                            message instanceof InstancesUpdate update
                                    ? new InstancesUpdate(
                                            update.revision(),
                                            update.complete(),
                                            update.instances().stream()
                                                    .map(TreatsTimeoutAsLeave::markLeftIfTimedOut)
                                                    .toList())
                                    : message);
                }
            };
        }

        private static Instance markLeftIfTimedOut(Instance instance) {
            boolean timedOut = instance.state() == InstanceState.GONE || instance.state() == InstanceState.UNHEARD;
            return !timedOut
                    ? instance
                    : new Instance(
                            instance.id(),
                            instance.service(),
                            instance.address(),
                            instance.zone(),
                            instance.softwareVersion(),
                            instance.capacity(),
                            InstanceState.GONE,
                            instance.warmupLeftMillis(),
                            instance.models(),
                            InstanceRegistry.LEFT_SEQUENCE);
        }
    }

    /** Incremental instance updates are acknowledged and not applied. */
    static final class DropsInstanceUpdates implements ComponentOverrides {
        @Override
        public PeerConnectionListener routerListener(PeerConnectionListener real) {
            return new ForwardingConnectionListener(real) {
                @Override
                public void onMessage(PeerConnection connection, NodeMessage message) {
                    if (message instanceof InstancesUpdate update && !update.complete()) {
                        connection.send(new NodeMessage.InstancesAck(update.revision()));
                        return;
                    }
                    super.onMessage(connection, message);
                }
            };
        }
    }
}
