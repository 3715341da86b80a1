package burlarch.controller.distribution;

import burlarch.controller.register.CommittedState.Origin;
import burlarch.controller.state.SystemState;
import burlarch.coordination.distribution.AcknowledgementTracker;
import burlarch.coordination.distribution.AcknowledgementTracker.Wait;
import burlarch.coordination.registry.InstanceChanges;
import burlarch.coordination.registry.InstanceRegistry;
import burlarch.transport.EventLoop;
import burlarch.transport.FrameCodec;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.InstancesUpdate;
import burlarch.transport.PeerConnection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Publisher of configurations, instances and the fleet's size to the connected routers. It tracks which revisions the
 * routers have acknowledged. Runs on the event loop.
 *
 * <table>
 * <caption>A router's access to the configuration</caption>
 * <tr><th>from</th><th>event</th><th>to</th></tr>
 * <tr><td></td><td>{@link #onRouterConnected}: the router is sent the instances</td><td>AWAITING_QUORUM_READ</td></tr>
 * <tr><td>AWAITING_QUORUM_READ</td><td>{@link #onQuorumRead}: the router is sent the configuration, at once or after
 * its first acknowledgement</td><td>ALLOWED</td></tr>
 * <tr><td>ALLOWED</td><td>a newer configuration is committed: the router is sent it</td><td>ALLOWED</td></tr>
 * <tr><td>any</td><td>{@link #onRouterDisconnected}</td><td>removed; no wait includes it any longer</td></tr>
 * </table>
 *
 * <p>Invariant <em>routers first</em>: when a wait for a configuration ends, all connected routers hold it or the
 * timeout has passed. Shortly after its start a controller doesn't know all routers yet, so it always waits for the
 * full timeout; the other controllers send the configuration to these routers meanwhile.
 */
public final class RouterPublisher {
    /**
     * The controller whose proposal committed a configuration sends it at once. The others send it after this delay,
     * and only to routers that have not acknowledged it by then.
     */
    private static final long PEER_COMMIT_DELAY_NANOS = 150_000_000;
    /** Delay for which changes of the sets of routers and controllers are collected into one update. */
    static final long FLEET_UPDATE_DELAY_NANOS = 50_000_000;
    /** Time to wait for a new router's first acknowledgement before it is sent the complete document. */
    private static final long FIRST_ACK_TIMEOUT_NANOS = 100_000_000;

    /** Time after the start of this process by which all routers have connected to it. */
    private static final long ROUTER_RECONNECT_TIME_NANOS = 2_000_000_000L;

    private enum ConfigurationAccess {
        AWAITING_QUORUM_READ,
        ALLOWED
    }

    private enum FleetUpdateState {
        NOT_SCHEDULED,
        SCHEDULED
    }

    private final EventLoop loop;
    private final long startedAtNanos;
    private final FrameCodec codec;
    private final InstanceRegistry registry;
    private final ConfigurationDeltaSender configurationSender;
    private final AcknowledgementTracker<PeerConnection> configurationAcks = new AcknowledgementTracker<>();
    private final AcknowledgementTracker<PeerConnection> instanceAcks = new AcknowledgementTracker<>();
    private final Map<Wait, CompletableFuture<Void>> pendingWaits = new IdentityHashMap<>();
    private final Map<PeerConnection, ConfigurationAccess> routers = new HashMap<>();
    private SystemState state = SystemState.EMPTY;
    private long sentInstancesRevision;
    private List<String> knownControllers = List.of();
    private FleetUpdateState fleetUpdate = FleetUpdateState.NOT_SCHEDULED;

    /** Creates a publisher without routers. */
    public RouterPublisher(EventLoop loop, FrameCodec codec, InstanceRegistry registry) {
        this.loop = loop;
        startedAtNanos = loop.nanoTime();
        this.codec = codec;
        this.registry = registry;
        configurationSender = new ConfigurationDeltaSender(codec);
    }

    /**
     * Adds a newly connected router. It is sent the instances at once, and the configuration after
     * {@link #onQuorumRead}.
     */
    public void onRouterConnected(PeerConnection router, List<String> controllers) {
        routers.putIfAbsent(router, ConfigurationAccess.AWAITING_QUORUM_READ);
        configurationAcks.subscribe(router);
        instanceAcks.subscribe(router);
        router.sendFrame(frame(registry.snapshot()));
        scheduleFleetUpdate(controllers);
    }

    /** Removes a disconnected router. */
    public void onRouterDisconnected(PeerConnection router, List<String> controllers) {
        if (routers.remove(router) == null) {
            return;
        }
        configurationSender.remove(router);
        configurationAcks.unsubscribe(router);
        instanceAcks.unsubscribe(router);
        finishWaits();
        scheduleFleetUpdate(controllers);
    }

    /** Schedules an update that tells the routers the controllers' addresses and the number of routers. */
    public void scheduleFleetUpdate(List<String> controllers) {
        knownControllers = controllers;
        if (fleetUpdate == FleetUpdateState.NOT_SCHEDULED) {
            fleetUpdate = FleetUpdateState.SCHEDULED;
            loop.schedule(FLEET_UPDATE_DELAY_NANOS, this::sendFleetUpdate);
        }
    }

    private void sendFleetUpdate() {
        fleetUpdate = FleetUpdateState.NOT_SCHEDULED;
        sendToAll(codec.encode(new NodeMessage.FleetUpdate(knownControllers, routers.size())));
    }

    /** Grants a router access to the configuration, after a quorum read that started after it connected. */
    public void onQuorumRead(PeerConnection router) {
        if (routers.get(router) != ConfigurationAccess.AWAITING_QUORUM_READ) {
            return;
        }
        routers.put(router, ConfigurationAccess.ALLOWED);
        if (configurationAcks.acknowledgedBy(router).isPresent()) {
            sendConfiguration(router);
        } else {
            loop.schedule(FIRST_ACK_TIMEOUT_NANOS, () -> sendConfiguration(router));
        }
    }

    /** Publishes the configuration of a newly committed state, if it is newer. */
    public void onCommitted(SystemState committed, Origin origin) {
        boolean isNewer = committed.configurationVersion() > state.configurationVersion();
        state = committed;
        if (!isNewer) {
            return;
        }
        configurationSender.add(committed.configurationVersion(), committed.configuration());
        if (origin == Origin.OWN_PROPOSAL) {
            sendConfiguration();
        } else {
            loop.schedule(PEER_COMMIT_DELAY_NANOS, this::sendConfiguration);
        }
    }

    private void sendConfiguration() {
        configurationAcks.laggingBehind(state.configurationVersion()).forEach(this::sendConfiguration);
    }

    private void sendConfiguration(PeerConnection router) {
        if (isAllowed(router)) {
            configurationSender.send(router, configurationAcks.acknowledgedBy(router));
        }
    }

    private boolean isAllowed(PeerConnection router) {
        return routers.get(router) == ConfigurationAccess.ALLOWED;
    }

    /** Sends the complete configuration to a router that could not apply a delta. */
    public void onFetchConfiguration(PeerConnection router) {
        if (isAllowed(router)) {
            configurationSender.sendComplete(router);
        }
    }

    /** Sends the routers the changes in the registry since the last call. */
    public void sendInstances() {
        if (registry.revision() == sentInstancesRevision) {
            return;
        }
        byte[] frame = frame(registry.changesSince(sentInstancesRevision));
        sentInstancesRevision = registry.revision();
        sendToAll(frame);
    }

    private byte[] frame(InstanceChanges changes) {
        return codec.encode(new InstancesUpdate(changes.revision(), changes.complete(), changes.instances()));
    }

    private void sendToAll(byte[] frame) {
        routers.keySet().forEach(router -> router.sendFrame(frame));
    }

    /** Records that a router holds the given version of the configuration. */
    public void onConfigurationAck(PeerConnection router, long version) {
        boolean isFirstAck = configurationAcks.acknowledgedBy(router).isEmpty();
        configurationAcks.onAcknowledged(router, version);
        finishWaits();
        if (isFirstAck) {
            sendConfiguration(router);
        }
    }

    /** Records that a router holds the given revision of the instances. */
    public void onInstancesAck(PeerConnection router, long revision) {
        instanceAcks.onAcknowledged(router, revision);
        finishWaits();
    }

    /**
     * Returns a future that completes when all connected routers hold the given version of the configuration, or after
     * the timeout. It never fails.
     */
    public CompletableFuture<Void> awaitConfiguration(long version, long timeoutNanos) {
        if (loop.nanoTime() - startedAtNanos < ROUTER_RECONNECT_TIME_NANOS) {
            CompletableFuture<Void> timeoutPassed = new CompletableFuture<>();
            loop.schedule(timeoutNanos, () -> timeoutPassed.complete(null));
            return timeoutPassed;
        }
        return await(configurationAcks, version, timeoutNanos);
    }

    /**
     * Returns a future that completes when all connected routers hold the given revision of the instances, or after the
     * timeout. It never fails.
     */
    public CompletableFuture<Void> awaitInstances(long revision, long timeoutNanos) {
        return await(instanceAcks, revision, timeoutNanos);
    }

    private CompletableFuture<Void> await(
            AcknowledgementTracker<PeerConnection> acks, long revision, long timeoutNanos) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        acks.await(revision, loop.nanoTime() + timeoutNanos)
                .ifPresentOrElse(
                        wait -> {
                            pendingWaits.put(wait, done);
                            loop.schedule(timeoutNanos, this::finishWaits);
                        },
                        () -> done.complete(null));
        return done;
    }

    private void finishWaits() {
        long now = loop.nanoTime();
        finish(configurationAcks.takeFinishedWaits(now));
        finish(instanceAcks.takeFinishedWaits(now));
    }

    private void finish(List<Wait> finished) {
        finished.forEach(wait -> pendingWaits.remove(wait).complete(null));
    }
}
