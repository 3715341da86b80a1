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
 * What instances announce here and at the other controllers: changes go on at once, mere heartbeats in
 * batches, so that each controller knows who was heard of. Without contact to a quorum this goes on, to
 * whoever is reached, but nothing is lost to silence: what isn't heard here may be heard elsewhere. Lives on
 * the loop.
 */
public final class InstanceReplicator {
    private static final long BATCH_DELAY_NANOS = 250_000_000;
    private static final long EXPIRY_CHECK_PERIOD_NANOS = 500_000_000;
    /** Instances in one message to a peer. */
    private static final int MAX_INSTANCES_PER_MESSAGE = 500;

    private final EventLoop loop;
    private final InstanceRegistry registry;
    private final ControllerPeers peers;
    private final RouterPublisher publisher;
    private final QuorumContactMonitor quorum;
    private List<Instance> heartbeats = new ArrayList<>();
    private boolean batchScheduled;

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
     * An instance announces itself here.
     *
     * @return whether it is known now, be it by an older or a newer announcement; else there was no room
     */
    public boolean announce(Instance instance) {
        InstanceRegistry.AnnouncementResult outcome = registry.announce(instance, loop.nanoTime());
        switch (outcome) {
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
        return outcome != InstanceRegistry.AnnouncementResult.TABLE_FULL;
    }

    private void addHeartbeat(Instance instance) {
        heartbeats.add(instance);
        if (!batchScheduled) {
            batchScheduled = true;
            loop.schedule(BATCH_DELAY_NANOS, this::sendBatch);
        }
    }

    private void sendBatch() {
        batchScheduled = false;
        peers.sendAll(new NodeMessage.InstanceAnnouncements(heartbeats));
        heartbeats = new ArrayList<>();
    }

    /** An instance ends and says so. */
    public void onLeft(String id) {
        Instance left = registry.leave(id, loop.nanoTime());
        peers.sendAll(new NodeMessage.InstanceAnnouncements(List.of(left)));
        publisher.sendInstances();
    }

    /** What another controller took. */
    public void onPeerAnnounced(Collection<Instance> instances) {
        registry.merge(instances, loop.nanoTime());
        publisher.sendInstances();
    }

    /** A controller is out of touch: its instances need time to turn to another. */
    public void onPeerLost() {
        registry.restartGrace(loop.nanoTime());
    }

    /**
     * A connection to or from a controller is up: it gets what it may have missed. Either of the two that
     * lead between controllers may be the first.
     */
    public void sendSnapshot(PeerConnection controller) {
        List<Instance> known = registry.selfReported();
        for (int from = 0; from < known.size(); from += MAX_INSTANCES_PER_MESSAGE) {
            int to = Math.min(known.size(), from + MAX_INSTANCES_PER_MESSAGE);
            controller.send(new NodeMessage.InstanceAnnouncements(known.subList(from, to)));
        }
    }

    private void onExpiryTimer() {
        expireSilent();
        loop.schedule(EXPIRY_CHECK_PERIOD_NANOS, this::onExpiryTimer);
    }

    /** Takes note of who was silent for too long, also of this process's own standstill. */
    public void expireSilent() {
        long now = loop.nanoTime();
        if (!quorum.hasContact()) {
            registry.restartGrace(now);
        }
        registry.expire(now);
        publisher.sendInstances();
    }

    /** The registry's revision. */
    public long revision() {
        return registry.revision();
    }
}
