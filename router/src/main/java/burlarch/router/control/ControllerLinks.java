package burlarch.router.control;

import burlarch.configuration.DeltaMismatchException;
import burlarch.coordination.ownership.RendezvousAssignment;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.MergedInstanceView;
import burlarch.settings.LiteralAddresses;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.ConfigurationAck;
import burlarch.transport.NodeMessage.ConfigurationChange;
import burlarch.transport.NodeMessage.ConfigurationConfirmed;
import burlarch.transport.NodeMessage.ConfigurationUpdate;
import burlarch.transport.NodeMessage.FetchConfiguration;
import burlarch.transport.NodeMessage.FleetUpdate;
import burlarch.transport.NodeMessage.InstancesAck;
import burlarch.transport.NodeMessage.InstancesUpdate;
import burlarch.transport.NodeMessage.PrefixCacheEvents;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnectionListener;
import burlarch.transport.PeerConnections;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Links of a router to all controllers. They apply the newest configuration, merge the instances of all controllers,
 * and acknowledge what is in effect. Invariants: <em>versions increase</em> (a configuration is applied only if its
 * version is higher) and <em>acknowledged means in force</em> (an acknowledgement is sent only after the handler has
 * returned). Runs on the event loop.
 */
public final class ControllerLinks implements PeerConnectionListener {
    /**
     * Maximum number of known controllers. To add a further one, the oldest one is removed that is neither
     * connected nor named by the current update.
     */
    static final int MAX_CONTROLLERS = 32;

    /** Puts updates into effect; each method returns when the update is in effect. */
    public interface UpdateHandler {
        /**
         * Called with a newer configuration.
         *
         * @return whether the configuration could be read and is in force
         */
        boolean onConfiguration(long version, byte[] json);

        /** Called when the instances have changed; {@code instances} holds all known instances. */
        void onInstances(MergedInstanceView instances);

        /** Called when the controllers report how many routers are connected to them. */
        void onRouterCount(int liveRouters);

        /** Called when a controller is unreachable; the last messages sent to it may be lost. */
        void onControllerLost();

        /** Called when another router has published updates of its prefix-cache sources. */
        void onPrefixCacheBatch(byte[] batch);
    }

    private final UpdateHandler handler;
    private final Optional<ConfigurationConfirmer> confirmer;
    private final MergedInstanceView mergedInstances = new MergedInstanceView();
    /** The connected controllers, with the number of routers that each of them reported last. */
    private final Map<PeerConnection, Integer> reportedRouters = new HashMap<>();
    /** Addresses of the known controllers; those that were named or disconnected last are at the end. */
    private final Set<String> controllers = new LinkedHashSet<>();

    private PeerConnections transport;
    /** Connections on which the complete configuration was requested and has not been received yet. */
    private final Set<PeerConnection> awaitingCompleteDocument = new HashSet<>();

    private ConfigurationInForce configuration = ConfigurationInForce.NONE;
    /** The instances in effect; null until a controller has sent instances. */
    private List<Instance> instances;

    /** Creates links without a transport, see {@link #start}, that never confirm the configuration in force. */
    public ControllerLinks(UpdateHandler handler) {
        this(handler, Optional.empty());
    }

    /** As {@link #ControllerLinks(UpdateHandler)}, but notifies the confirmer, if present, of events that affect it. */
    public ControllerLinks(UpdateHandler handler, Optional<ConfigurationConfirmer> confirmer) {
        this.handler = handler;
        this.confirmer = confirmer;
    }

    /** Connects to the seed controllers. Must be called once, before any connection is established. */
    public void start(PeerConnections peerConnections, Collection<String> seeds) {
        transport = peerConnections;
        addControllers(seeds);
    }

    /** Connects to those of the given controllers that were not known before. */
    public void addControllers(Collection<String> addresses) {
        for (String address : addresses) {
            if (!moveToEnd(address) && evictIfFull(addresses)) {
                controllers.add(address);
                transport.connect(LiteralAddresses.parse(address));
            }
        }
    }

    /** Moves a known address to the end of the order. Returns false if the address is not known. */
    private boolean moveToEnd(String address) {
        return controllers.remove(address) && controllers.add(address);
    }

    /** Returns whether another address may be added; if necessary, removes one that is no longer needed. */
    private boolean evictIfFull(Collection<String> namedAddresses) {
        if (controllers.size() < MAX_CONTROLLERS) {
            return true;
        }
        Set<String> neededAddresses = new HashSet<>(namedAddresses);
        reportedRouters
                .keySet()
                .forEach(
                        connection -> neededAddresses.add(connection.peerHello().address()));
        for (String address : controllers) {
            if (!neededAddresses.contains(address)) {
                controllers.remove(address);
                transport.disconnect(LiteralAddresses.parse(address));
                return true;
            }
        }
        return false;
    }

    /** Whether more than half of the known controllers are connected. */
    public boolean isConnectedToMostKnownControllers() {
        return 2 * reportedRouters.size() > controllers.size();
    }

    /** The connected controllers, in no particular order. */
    public Collection<PeerConnection> connectedControllers() {
        return Collections.unmodifiableSet(reportedRouters.keySet());
    }

    /**
     * The connected controller through which a router publishes its prefix-cache updates. It is chosen by rendezvous
     * hashing, among the controllers of the router's own zone if there are any. Empty if no controller is connected.
     */
    public Optional<PeerConnection> publishingController(String router, String zone) {
        PeerConnection bestConnection = null;
        double bestScore = -1;
        for (PeerConnection connection : reportedRouters.keySet()) {
            double sameZoneBonus = connection.peerHello().zone().equals(zone) ? 1 : 0;
            double score = sameZoneBonus
                    + RendezvousAssignment.score(connection.peerHello().nodeName(), router);
            if (score > bestScore) {
                bestScore = score;
                bestConnection = connection;
            }
        }
        return Optional.ofNullable(bestConnection);
    }

    @Override
    public void onConnected(PeerConnection connection) {
        Logger.info("controller connected: node={}", connection.peerHello().nodeName());
        reportedRouters.put(connection, 1);
        acknowledgeConfiguration(connection);
        confirmer.ifPresent(ConfigurationConfirmer::onControllerConnected);
    }

    @Override
    public void onMessage(PeerConnection connection, NodeMessage message) {
        if (message instanceof ConfigurationUpdate update) {
            onConfiguration(connection, new ConfigurationInForce(update.version(), update.json()));
        } else if (message instanceof ConfigurationChange change) {
            onConfigurationChange(connection, change);
        } else if (message instanceof InstancesUpdate update) {
            applyInstances(connection.peerHello().nodeName(), update);
            applyInstances();
            connection.send(new InstancesAck(update.revision()));
        } else if (message instanceof FleetUpdate update) {
            addControllers(update.controllers());
            reportedRouters.put(connection, update.routerCount());
            reportRouterCount();
        } else if (message instanceof ConfigurationConfirmed confirmed) {
            confirmer.ifPresent(active -> active.onConfirmed(confirmed, configuration.version()));
        } else if (message instanceof PrefixCacheEvents events) {
            handler.onPrefixCacheBatch(events.batch());
        }
    }

    private void applyInstances(String controller, InstancesUpdate update) {
        if (update.complete()) {
            mergedInstances.onSnapshot(controller, update.instances());
        } else {
            mergedInstances.onChanges(controller, update.instances());
        }
    }

    /** Passes the merged instances on if they differ: every controller sends each change. */
    private void applyInstances() {
        List<Instance> newer = mergedInstances.instances();
        if (!newer.equals(instances)) {
            instances = newer;
            handler.onInstances(mergedInstances);
        }
    }

    private void onConfigurationChange(PeerConnection connection, ConfigurationChange change) {
        if (change.carriesCompleteDocument()) {
            awaitingCompleteDocument.remove(connection);
        }
        if (change.version() <= configuration.version()) {
            acknowledgeConfiguration(connection);
            return;
        }
        try {
            onConfiguration(connection, configuration.apply(change));
        } catch (DeltaMismatchException mismatch) {
            Logger.warn(
                    "configuration change rejected: controller={} base={} version={} inForce={} error={}",
                    connection.peerHello().nodeName(),
                    change.baseVersion(),
                    change.version(),
                    configuration.version(),
                    mismatch.getMessage());
            requestCompleteDocument(connection, change);
        }
    }

    /** Requests the complete document once. If that is rejected too, another request would yield the same one. */
    private void requestCompleteDocument(PeerConnection connection, ConfigurationChange rejected) {
        if (!rejected.carriesCompleteDocument() && awaitingCompleteDocument.add(connection)) {
            connection.send(new FetchConfiguration());
        }
    }

    private void onConfiguration(PeerConnection connection, ConfigurationInForce newer) {
        if (newer.version() > configuration.version()) {
            if (!handler.onConfiguration(newer.version(), newer.document())) {
                return;
            }
            configuration = newer;
            confirmer.ifPresent(active -> active.onInForce(newer.version()));
            Logger.info("configuration in force: version={}", configuration.version());
            reportedRouters.keySet().forEach(this::acknowledgeConfiguration);
        } else {
            acknowledgeConfiguration(connection);
        }
    }

    private void acknowledgeConfiguration(PeerConnection connection) {
        connection.send(new ConfigurationAck(configuration.version()));
    }

    @Override
    public void onDisconnected(PeerConnection connection) {
        Logger.info("controller disconnected: node={}", connection.peerHello().nodeName());
        awaitingCompleteDocument.remove(connection);
        moveToEnd(connection.peerHello().address());
        if (reportedRouters.remove(connection) != null) {
            mergedInstances.onControllerLost(connection.peerHello().nodeName());
            applyInstances();
            handler.onControllerLost();
        }
    }

    private void reportRouterCount() {
        int routerCount = 1;
        for (int reported : reportedRouters.values()) {
            routerCount = Math.max(routerCount, reported);
        }
        handler.onRouterCount(routerCount);
    }
}
