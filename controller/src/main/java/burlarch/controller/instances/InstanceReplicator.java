package burlarch.controller.instances;

import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.QuorumContactMonitor;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceRegistry;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Replicates the announcements of instances between controllers and to routers. Runs on the event loop.
 *
 * <p>Changes are sent at once. Heartbeats without a change are sent in batches, so that each controller knows which
 * instances were heard from. Without contact to a quorum replication goes on, to whoever is reachable, but no instance
 * is expired: what isn't heard here may be heard elsewhere.
 */
public final class InstanceReplicator {
    private static final long BATCH_DELAY_NANOS = 250_000_000;
    private static final long EXPIRY_CHECK_PERIOD_NANOS = 500_000_000;
    private static final int MAX_INSTANCES_PER_MESSAGE = 500;

    private final EventLoop loop;
    private final InstanceRegistry registry;
    private final ControllerPeers peers;
    private final RouterPublisher publisher;
    private final QuorumContactMonitor quorum;
    /** Heartbeats for the next batch. A batch is scheduled exactly while there are any. */
    private List<Instance> heartbeats = new ArrayList<>();

    /** Schedules the first expiry check. */
    public InstanceReplicator(
            EventLoop loop,
            InstanceRegistry registry,
            ControllerPeers peers,
            RouterPublisher publisher,
            QuorumContactMonitor quorum) {
        this.loop = loop;
        this.registry = registry;
        this.peers = peers;
        this.publisher = publisher;
        this.quorum = quorum;
        loop.schedule(EXPIRY_CHECK_PERIOD_NANOS, this::onExpiryTimer);
    }

    /**
     * An instance announces itself at this controller.
     *
     * @return whether the registry knows the instance now, by this announcement or by a newer one; false if it is full
     */
    public boolean announce(Instance instance) {
        InstanceRegistry.AnnouncementResult result = registry.announce(instance, loop.nanoTime());
        switch (result) {
            case CHANGED -> {
                peers.sendAll(new NodeMessage.InstanceAnnouncements(List.of(instance)));
                publisher.sendInstances();
            }
            case REFRESHED -> {
                addHeartbeat(instance);
                publisher.sendInstances();
            }
            default -> {}
        }
        return result != InstanceRegistry.AnnouncementResult.TABLE_FULL;
    }

    private void addHeartbeat(Instance instance) {
        if (heartbeats.isEmpty()) {
            loop.schedule(BATCH_DELAY_NANOS, this::sendBatch);
        }
        heartbeats.add(instance);
    }

    private void sendBatch() {
        peers.sendAll(new NodeMessage.InstanceAnnouncements(heartbeats));
        heartbeats = new ArrayList<>();
    }

    /** An instance announces its end at this controller. */
    public void onLeft(String id) {
        Instance left = registry.leave(id, loop.nanoTime());
        peers.sendAll(new NodeMessage.InstanceAnnouncements(List.of(left)));
        publisher.sendInstances();
    }

    /** Another controller has heard from these instances. */
    public void onPeerAnnounced(Collection<Instance> instances) {
        registry.merge(instances, loop.nanoTime());
        publisher.sendInstances();
    }

    /** Another controller is disconnected: its instances need time to turn to another one before they expire. */
    public void onPeerLost() {
        registry.restartGrace(loop.nanoTime());
    }

    /**
     * Sends a newly connected controller what it may have missed. Called for each of the two connections between two
     * controllers, because either may be established first.
     */
    public void sendSnapshot(PeerConnection controller) {
        List<Instance> known = registry.selfReported();
        for (int from = 0; from < known.size(); from += MAX_INSTANCES_PER_MESSAGE) {
            int to = Math.min(known.size(), from + MAX_INSTANCES_PER_MESSAGE);
            controller.send(new NodeMessage.InstanceAnnouncements(known.subList(from, to)));
        }
    }

    private void onExpiryTimer() {
        expireOverdue();
        loop.schedule(EXPIRY_CHECK_PERIOD_NANOS, this::onExpiryTimer);
    }

    /** Expires the instances whose heartbeats are overdue; notices too if this process itself stood still. */
    public void expireOverdue() {
        long now = loop.nanoTime();
        if (!quorum.hasContact()) {
            registry.restartGrace(now);
        }
        registry.expire(now);
        publisher.sendInstances();
    }

    /** The revision of the registry. */
    public long revision() {
        return registry.revision();
    }
}
