package burlarch.controller.instances;

import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.DepartureRecorder;
import burlarch.controller.register.QuorumContactMonitor;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceRegistry;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Replicator of instance announcements between controllers and to routers. Runs on the event loop.
 *
 * <p>Changes are sent at once. Heartbeats without a change are sent in batches, so that each controller knows which
 * instances are alive. Without contact to a quorum, replication to the reachable nodes continues but no instance
 * expires, because an instance that sends no heartbeats to this controller may send them to another.
 */
public final class InstanceReplicator {
    private static final long BATCH_DELAY_NANOS = 250_000_000;
    private static final long EXPIRY_CHECK_PERIOD_NANOS = 500_000_000;
    private static final int MAX_INSTANCES_PER_MESSAGE = 500;

    private final EventLoop loop;
    private final InstanceRegistry registry;
    private final ControllerPeers peers;
    private final RouterPublisher publisher;
    private final QuorumContactMonitor quorumContact;
    private final DepartureRecorder departures;
    /** Heartbeats for the next batch. A batch is scheduled if and only if the list is not empty. */
    private List<Instance> heartbeats = new ArrayList<>();

    /** Schedules the first expiry check. */
    public InstanceReplicator(
            EventLoop loop,
            InstanceRegistry registry,
            ControllerPeers peers,
            RouterPublisher publisher,
            QuorumContactMonitor quorumContact,
            DepartureRecorder departures) {
        this.loop = loop;
        this.registry = registry;
        this.peers = peers;
        this.publisher = publisher;
        this.quorumContact = quorumContact;
        this.departures = departures;
        loop.schedule(EXPIRY_CHECK_PERIOD_NANOS, this::onExpiryTimer);
    }

    /**
     * Handles an instance's announcement at this controller.
     *
     * @return whether the registry contains the instance, from this announcement or a newer one; false if the registry
     *     is full
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
        registry.departureOfReturned(instance.id())
                .ifPresent(departure -> departures.recordReturn(instance.id(), departure));
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

    /**
     * Records in the register that an instance drains, unless it is there already. Must be called before
     * {@link #announce} applies the drain.
     *
     * @return as that of {@link #onLeft}
     */
    public CompletableFuture<Void> recordDrain(String id) {
        return registry.hasDeparted(id) ? CompletableFuture.completedFuture(null) : departures.recordDeparture(id);
    }

    /**
     * Handles an instance's announcement of its end at this controller: notifies the other nodes at once and records
     * the departure in the register.
     *
     * @return as {@link DepartureRecorder#recordDeparture}
     */
    public CompletableFuture<Void> onLeft(String id) {
        Instance left = registry.leave(id, loop.nanoTime());
        peers.sendAll(new NodeMessage.InstanceAnnouncements(List.of(left)));
        publisher.sendInstances();
        return departures.recordDeparture(id);
    }

    /**
     * Applies the departures of a newly committed state.
     *
     * @param numbers number of the departure, by the id of the instance
     */
    public void onDepartures(Map<String, Long> numbers) {
        registry.onDepartures(numbers, loop.nanoTime());
        publisher.sendInstances();
    }

    /** Merges announcements that another controller has received. */
    public void onPeerAnnounced(Collection<Instance> instances) {
        registry.merge(instances, loop.nanoTime());
        publisher.sendInstances();
    }

    /**
     * Restarts the grace period after another controller disconnected, because its instances need time to switch to
     * another controller before they expire.
     */
    public void onPeerLost() {
        registry.restartGrace(loop.nanoTime());
    }

    /**
     * Sends a newly connected controller the known instances, because it may have missed announcements. Called for each
     * of the two connections between two controllers, because either may be established first.
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

    /**
     * Expires the instances whose heartbeats are overdue, and detects a pause of this process. Called also before a
     * router is sent the instances, so that a pause is detected first.
     */
    public void expireOverdue() {
        long now = loop.nanoTime();
        if (!quorumContact.hasContact()) {
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
