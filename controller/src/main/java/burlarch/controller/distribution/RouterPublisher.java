package burlarch.controller.distribution;

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
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Streams configurations and instances to the routers that are connected, and tells when all of them hold a
 * revision. Lives on the loop.
 */
public final class RouterPublisher {
    /**
     * A configuration that another controller chose is sent by that one: here only to those that lack it by
     * then.
     */
    private static final long PEER_COMMIT_DELAY_NANOS = 150_000_000;

    /** Routers that come and go, and controllers that are new, within this time are told of together. */
    static final long FLEET_UPDATE_DELAY_NANOS = 50_000_000;
    /** A router that says nothing of what it holds for so long is sent the whole configuration. */
    private static final long FIRST_ACK_TIMEOUT_NANOS = 100_000_000;

    private final EventLoop loop;
    private final FrameCodec codec;
    private final InstanceRegistry registry;
    private final AcknowledgementTracker<PeerConnection> configurations = new AcknowledgementTracker<>();
    private final AcknowledgementTracker<PeerConnection> instances = new AcknowledgementTracker<>();
    private final Map<Wait, CompletableFuture<Void>> waiting = new IdentityHashMap<>();
    private final Set<PeerConnection> routers = new HashSet<>();
    /** Routers that may be sent a configuration: after their connection a quorum confirmed the newest one. */
    private final Set<PeerConnection> confirmed = new HashSet<>();

    private SystemState state = SystemState.EMPTY;
    private final ConfigurationDeltaSender configurationStream;
    private long sentRevision;
    private List<String> knownControllers = List.of();
    private boolean fleetUpdateScheduled;

    public RouterPublisher(EventLoop loop, FrameCodec codec, InstanceRegistry registry) {
        this.loop = loop;
        this.codec = codec;
        this.registry = registry;
        configurationStream = new ConfigurationDeltaSender(codec);
    }

    /**
     * A router is connected. It gets instances at once, the configuration once {@link #onQuorumRead} allows.
     */
    public void onRouterUp(PeerConnection router, List<String> controllers) {
        routers.add(router);
        configurations.subscribe(router);
        instances.subscribe(router);
        router.sendFrame(frame(registry.snapshot()));
        scheduleFleetUpdate(controllers);
    }

    public void onRouterDown(PeerConnection router, List<String> controllers) {
        if (!routers.remove(router)) {
            return;
        }
        confirmed.remove(router);
        configurationStream.forget(router);
        configurations.unsubscribe(router);
        instances.unsubscribe(router);
        finishWaits();
        scheduleFleetUpdate(controllers);
    }

    /** How many routers are connected. */
    public int routerCount() {
        return routers.size();
    }

    /** Tells the routers soon which controllers there are and how many routers. */
    public void scheduleFleetUpdate(List<String> controllers) {
        knownControllers = controllers;
        if (!fleetUpdateScheduled) {
            fleetUpdateScheduled = true;
            loop.schedule(FLEET_UPDATE_DELAY_NANOS, this::sendFleetUpdate);
        }
    }

    private void sendFleetUpdate() {
        fleetUpdateScheduled = false;
        byte[] frame = codec.encode(new NodeMessage.FleetUpdate(knownControllers, routers.size()));
        routers.forEach(router -> router.sendFrame(frame));
    }

    /**
     * The router was connected before a read that a quorum confirmed began: it may be sent the newest
     * configuration.
     */
    public void onQuorumRead(PeerConnection router) {
        if (!routers.contains(router) || !confirmed.add(router)) {
            return;
        }
        if (configurations.acknowledgedBy(router).isPresent()) {
            sendConfiguration(router);
        } else {
            loop.schedule(FIRST_ACK_TIMEOUT_NANOS, () -> sendConfiguration(router));
        }
    }

    /** A value was chosen. */
    public void onCommitted(SystemState decided, boolean ownProposal) {
        boolean newer = decided.configurationVersion() > state.configurationVersion();
        state = decided;
        if (!newer) {
            return;
        }
        configurationStream.add(decided.configurationVersion(), decided.configuration());
        if (ownProposal) {
            sendConfiguration();
        } else {
            loop.schedule(PEER_COMMIT_DELAY_NANOS, this::sendConfiguration);
        }
    }

    private void sendConfiguration() {
        configurations.laggingBehind(state.configurationVersion()).forEach(this::sendConfiguration);
    }

    private void sendConfiguration(PeerConnection router) {
        if (confirmed.contains(router)) {
            configurationStream.send(router, configurations.acknowledgedBy(router));
        }
    }

    /** What was sent fits no document that the router holds. */
    public void onFetchConfiguration(PeerConnection router) {
        if (confirmed.contains(router)) {
            configurationStream.sendComplete(router);
        }
    }

    /** Sends the routers what changed in the registry since the last call. */
    public void sendInstances() {
        if (registry.revision() == sentRevision) {
            return;
        }
        byte[] frame = frame(registry.changesSince(sentRevision));
        sentRevision = registry.revision();
        routers.forEach(router -> router.sendFrame(frame));
    }

    private byte[] frame(InstanceChanges changes) {
        return codec.encode(new InstancesUpdate(changes.revision(), changes.complete(), changes.instances()));
    }

    public void onConfigurationAck(PeerConnection router, long version) {
        boolean first = configurations.acknowledgedBy(router).isEmpty();
        configurations.onAcknowledged(router, version);
        finishWaits();
        if (first) {
            sendConfiguration(router);
        }
    }

    public void onInstancesAck(PeerConnection router, long revision) {
        instances.onAcknowledged(router, revision);
        finishWaits();
    }

    /** Done when all routers that are connected hold the version, or the time is over. */
    public CompletableFuture<Void> awaitConfiguration(long version, long limitNanos) {
        return await(configurations, version, limitNanos);
    }

    /** Done when all routers that are connected hold the revision of the registry, or the time is over. */
    public CompletableFuture<Void> awaitInstances(long revision, long limitNanos) {
        return await(instances, revision, limitNanos);
    }

    private CompletableFuture<Void> await(
            AcknowledgementTracker<PeerConnection> table, long revision, long limitNanos) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        table.await(revision, loop.nanoTime() + limitNanos)
                .ifPresentOrElse(
                        wait -> {
                            waiting.put(wait, done);
                            loop.schedule(limitNanos, this::finishWaits);
                        },
                        () -> done.complete(null));
        return done;
    }

    private void finishWaits() {
        long now = loop.nanoTime();
        configurations.takeFinishedWaits(now).forEach(wait -> waiting.remove(wait)
                .complete(null));
        instances.takeFinishedWaits(now).forEach(wait -> waiting.remove(wait).complete(null));
    }
}
