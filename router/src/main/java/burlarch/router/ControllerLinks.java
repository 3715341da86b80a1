package burlarch.router;

import burlarch.configuration.DeltaMismatch;
import burlarch.coordination.ownership.RendezvousAssignment;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.MergedInstanceView;
import burlarch.settings.Addresses;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.ConfigurationAck;
import burlarch.transport.NodeMessage.ConfigurationChange;
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
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tinylog.Logger;

/**
 * A router's streams from all controllers: the newest configuration wins, instances are combined, and what
 * has been put into effect is acknowledged. Lives on the loop.
 */
public final class ControllerLinks implements PeerConnectionListener {
    /** Beyond this number, one gives way: of those neither connected nor told of, the one first in order. */
    static final int MOST_CONTROLLERS = 32;

    /** Puts into effect what controllers tell; each call returns once it is in effect. */
    public interface UpdateHandler {
        /** @return whether the configuration could be read and is in force */
        boolean onConfiguration(long version, byte[] json);

        void onInstances(MergedInstanceView views);

        /** Controllers tell how many routers are connected with them. */
        void onRouterCount(int live);

        /** A controller is out of reach; what was sent to it last may be lost. */
        void onControllerLost();

        /** What another router read of kept parts. */
        void onPrefixCacheBatch(byte[] batch);
    }

    private final UpdateHandler effects;
    private final MergedInstanceView views = new MergedInstanceView();
    private final Map<PeerConnection, Integer> routersSeen = new HashMap<>();
    /** Addresses, those that were told of or lost last at the end. */
    private final Set<String> controllers = new LinkedHashSet<>();

    private PeerConnections transport;
    /** Connections on which the whole configuration was asked for and has not come yet. */
    private final Set<PeerConnection> awaitingWhole = new HashSet<>();

    private ConfigurationInForce held = ConfigurationInForce.NONE;
    /** What is in effect; null until a controller has told. */
    private List<Instance> instances;

    public ControllerLinks(UpdateHandler effects) {
        this.effects = effects;
    }

    /** Connects to the first controllers; to be called once, before any connection is up. */
    public void start(PeerConnections ownTransport, Collection<String> seeds) {
        transport = ownTransport;
        addControllers(seeds);
    }

    /** Connects to those that were not known. */
    public void addControllers(Collection<String> addresses) {
        for (String address : addresses) {
            if (!moveToEnd(address) && makeRoom(addresses)) {
                controllers.add(address);
                transport.connect(Addresses.parse(address));
            }
        }
    }

    /** @return whether the address is known */
    private boolean moveToEnd(String address) {
        return controllers.remove(address) && controllers.add(address);
    }

    private boolean makeRoom(Collection<String> told) {
        if (controllers.size() < MOST_CONTROLLERS) {
            return true;
        }
        Set<String> needed = new HashSet<>(told);
        routersSeen
                .keySet()
                .forEach(connection -> needed.add(connection.peerHello().address()));
        for (String address : controllers) {
            if (!needed.contains(address)) {
                controllers.remove(address);
                transport.disconnect(Addresses.parse(address));
                return true;
            }
        }
        return false;
    }

    /** Whether more than half of the controllers that are known were heard within the time of a silence. */
    boolean reachesMostControllers() {
        return 2 * routersSeen.size() > controllers.size();
    }

    /** Whether a configuration is in force and instances were told: requests can be served. */
    public boolean isInformed() {
        return held.version() > 0 && instances != null;
    }

    /**
     * The controller through which that router passes on what it reads, one of its own zone where there is
     * one; null where none is connected.
     */
    PeerConnection relayFor(String router, String zone) {
        PeerConnection best = null;
        double most = -1;
        for (PeerConnection connection : routersSeen.keySet()) {
            double near = connection.peerHello().zone().equals(zone) ? 1 : 0;
            double score = near + RendezvousAssignment.score(connection.peerHello().nodeName(), router);
            if (score > most) {
                most = score;
                best = connection;
            }
        }
        return best;
    }

    @Override
    public void onConnected(PeerConnection connection) {
        Logger.info("controller {} connected", connection.peerHello().nodeName());
        routersSeen.put(connection, 1);
        connection.send(new ConfigurationAck(held.version()));
    }

    @Override
    public void onMessage(PeerConnection connection, NodeMessage message) {
        if (message instanceof ConfigurationUpdate update) {
            onConfiguration(connection, new ConfigurationInForce(update.version(), update.json()));
        } else if (message instanceof ConfigurationChange change) {
            onConfigurationChange(connection, change);
        } else if (message instanceof InstancesUpdate update) {
            views.onUpdate(connection.peerHello().nodeName(), update.whole(), update.instances());
            onViews();
            connection.send(new InstancesAck(update.revision()));
        } else if (message instanceof FleetUpdate update) {
            addControllers(update.controllers());
            routersSeen.put(connection, update.routers());
            tellRouters();
        } else if (message instanceof PrefixCacheEvents parts) {
            effects.onPrefixCacheBatch(parts.batch());
        }
    }

    /** Each change comes from every controller: only the first of them has an effect. */
    private void onViews() {
        List<Instance> newer = views.instances();
        if (!newer.equals(instances)) {
            instances = newer;
            effects.onInstances(views);
        }
    }

    private void onConfigurationChange(PeerConnection connection, ConfigurationChange change) {
        if (change.isCompleteDocument()) {
            awaitingWhole.remove(connection);
        }
        if (change.version() <= held.version()) {
            connection.send(new ConfigurationAck(held.version()));
            return;
        }
        try {
            onConfiguration(connection, held.changed(change));
        } catch (DeltaMismatch mismatch) {
            Logger.warn(
                    "change of configuration {} to {} from {} not taken, {} is held: {}",
                    change.base(),
                    change.version(),
                    connection.peerHello().nodeName(),
                    held.version(),
                    mismatch.getMessage());
            fetchWhole(connection, change);
        }
    }

    /** Asks once; a whole document that is broken is not asked for again, as it would come the same. */
    private void fetchWhole(PeerConnection connection, ConfigurationChange refused) {
        if (!refused.isCompleteDocument() && awaitingWhole.add(connection)) {
            connection.send(new FetchConfiguration());
        }
    }

    private void onConfiguration(PeerConnection connection, ConfigurationInForce newer) {
        if (newer.version() > held.version()) {
            if (!effects.onConfiguration(newer.version(), newer.document())) {
                return;
            }
            held = newer;
            Logger.info("configuration {} in force", held.version());
            routersSeen.keySet().forEach(other -> other.send(new ConfigurationAck(held.version())));
        } else {
            connection.send(new ConfigurationAck(held.version()));
        }
    }

    @Override
    public void onDisconnected(PeerConnection connection) {
        Logger.info("controller {} lost", connection.peerHello().nodeName());
        awaitingWhole.remove(connection);
        moveToEnd(connection.peerHello().address());
        if (routersSeen.remove(connection) != null) {
            views.onControllerLost(connection.peerHello().nodeName());
            onViews();
            effects.onControllerLost();
        }
    }

    private void tellRouters() {
        int most = 1;
        for (int seen : routersSeen.values()) {
            most = Math.max(most, seen);
        }
        effects.onRouterCount(most);
    }
}
