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
 * Publishes configurations, instances and the fleet's size to the connected routers, and tells when all of them have
 * acknowledged a revision. Runs on the event loop.
 *
 * <table>
 * <caption>A router's access to the configuration</caption>
 * <tr><th>from</th><th>event</th><th>to</th></tr>
 * <tr><td></td><td>{@link #onRouterConnected}: it is sent the instances</td><td>AWAITING_QUORUM_READ</td></tr>
 * <tr><td>AWAITING_QUORUM_READ</td><td>{@link #onQuorumRead}: it is sent the configuration, now or once it has said
 * what it holds</td><td>ALLOWED</td></tr>
 * <tr><td>ALLOWED</td><td>a newer configuration is committed: it is sent that one</td><td>ALLOWED</td></tr>
 * <tr><td>any</td><td>{@link #onRouterDisconnected}</td><td>forgotten, waited for no longer</td></tr>
 * </table>
 *
 * <p>Invariant <em>routers first</em>: a configuration that is awaited is held by all connected routers, or the timeout
 * is over. Soon after its start a controller doesn't know the routers that have yet to connect to it, so that it waits
 * the timeout out; the other controllers send to these routers meanwhile.
 */
public final class RouterPublisher {
    /**
     * The controller whose proposal committed a configuration sends it. The others send it this much later, and only
     * to routers that have not acknowledged it by then.
     */
    private static final long PEER_COMMIT_DELAY_NANOS = 150_000_000;
    /** Changes of the routers and controllers within this time are published together. */
    static final long FLEET_UPDATE_DELAY_NANOS = 50_000_000;
    /** How long to wait for a new router's first acknowledgement before it is sent the complete document. */
    private static final long FIRST_ACK_TIMEOUT_NANOS = 100_000_000;

    /** Within this time after the start of this process the routers connect to it. */
    private static final long ROUTERS_CONNECT_NANOS = 2_000_000_000L;

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

    /** A publisher without routers. */
    public RouterPublisher(EventLoop loop, FrameCodec codec, InstanceRegistry registry) {
        this.loop = loop;
        startedAtNanos = loop.nanoTime();
        this.codec = codec;
        this.registry = registry;
        configurationSender = new ConfigurationDeltaSender(codec);
    }

    /** A router is connected. It is sent the instances at once, the configuration after {@link #onQuorumRead}. */
    public void onRouterConnected(PeerConnection router, List<String> controllers) {
        routers.putIfAbsent(router, ConfigurationAccess.AWAITING_QUORUM_READ);
        configurationAcks.subscribe(router);
        instanceAcks.subscribe(router);
        router.sendFrame(frame(registry.snapshot()));
        scheduleFleetUpdate(controllers);
    }

    /** A router is disconnected. */
    public void onRouterDisconnected(PeerConnection router, List<String> controllers) {
        if (routers.remove(router) == null) {
            return;
        }
        configurationSender.forget(router);
        configurationAcks.unsubscribe(router);
        instanceAcks.unsubscribe(router);
        finishWaits();
        scheduleFleetUpdate(controllers);
    }

    /** Tells the routers soon which controllers there are and how many routers. */
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

    /** A read that a quorum confirmed has started after the router was connected. */
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

    /** A newer state is committed. */
    public void onCommitted(SystemState committed, Origin origin) {
        boolean newer = committed.configurationVersion() > state.configurationVersion();
        state = committed;
        if (!newer) {
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

    /** A router could not apply the delta that it was sent. */
    public void onFetchConfiguration(PeerConnection router) {
        if (isAllowed(router)) {
            configurationSender.sendComplete(router);
        }
    }

    /** Sends the routers what has changed in the registry since the last call. */
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

    /** A router holds that version of the configuration. */
    public void onConfigurationAck(PeerConnection router, long version) {
        boolean first = configurationAcks.acknowledgedBy(router).isEmpty();
        configurationAcks.onAcknowledged(router, version);
        finishWaits();
        if (first) {
            sendConfiguration(router);
        }
    }

    /** A router holds that revision of the instances. */
    public void onInstancesAck(PeerConnection router, long revision) {
        instanceAcks.onAcknowledged(router, revision);
        finishWaits();
    }

    /** Done when all connected routers hold the version of the configuration, or after the timeout; never fails. */
    public CompletableFuture<Void> awaitConfiguration(long version, long timeoutNanos) {
        if (loop.nanoTime() - startedAtNanos < ROUTERS_CONNECT_NANOS) {
            CompletableFuture<Void> timeoutOver = new CompletableFuture<>();
            loop.schedule(timeoutNanos, () -> timeoutOver.complete(null));
            return timeoutOver;
        }
        return await(configurationAcks, version, timeoutNanos);
    }

    /** Done when all connected routers hold the revision of the instances, or after the timeout; never fails. */
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
