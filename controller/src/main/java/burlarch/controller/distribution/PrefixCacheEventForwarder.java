package burlarch.controller.distribution;

import burlarch.coordination.ownership.RendezvousAssignment;
import burlarch.node.NodeRoles;
import burlarch.transport.EventLoop;
import burlarch.transport.FrameCodec;
import burlarch.transport.NodeMessage.PrefixCacheEvents;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Forwarder of prefix-cache events from the router that read them from an engine to all other routers. It does not
 * decode the events. Runs on the event loop.
 *
 * <p>A frame is sent to each other zone once: to a controller there (the relay), which forwards it to the routers of
 * its own zone. Routers of a zone without a relay are sent the frame directly. Frames that arrive within a short time
 * are sent as one batch, so that each router wakes once for many. Frames for another zone are batched again by the
 * relay, so they wait here for a shorter time. Frames may be lost: the receiver detects losses by the sequence numbers
 * of the source.
 */
public final class PrefixCacheEventForwarder {
    /** Time for which the oldest frame of a batch for routers waits. */
    static final long BATCH_DELAY_NANOS = 100_000_000;
    /** Time for which the oldest frame of a batch for other zones waits. */
    static final long RELAY_DELAY_NANOS = 20_000_000;
    /**
     * Time for which a controller must be connected before it is a relay for its zone. Routers retry connections at
     * least once a second, so those of its zone are connected to it by then.
     */
    static final long RELAY_ELIGIBLE_AFTER_NANOS = 2_000_000_000;
    /** Limit of frames in a batch; a full batch is sent at once. */
    private static final int MAX_PENDING_FRAMES = 256;

    private final EventLoop loop;
    private final FrameCodec codec;
    private final String ownAddress;
    private final String ownZone;
    private final Map<String, Set<PeerConnection>> routersByZone = new HashMap<>();
    /**
     * Outbound connections to controllers of other zones, each with the time in nanoseconds at which it was
     * established.
     */
    private final Map<PeerConnection, Long> relayCandidates = new LinkedHashMap<>();

    private final Batch forOwnZone = new Batch(BATCH_DELAY_NANOS, this::sendToOwnZone);
    private final Batch forOtherZones = new Batch(RELAY_DELAY_NANOS, this::sendToOtherZones);

    private record PendingFrame(PeerConnection from, byte[] frame) {
        /** Whether a controller sent the frame; that controller also sends it to the other zones. */
        boolean isRelayed() {
            return from.peerHello().role().equals(NodeRoles.CONTROLLER);
        }
    }

    public PrefixCacheEventForwarder(EventLoop loop, FrameCodec codec, String ownAddress, String ownZone) {
        this.loop = loop;
        this.codec = codec;
        this.ownAddress = ownAddress;
        this.ownZone = ownZone;
    }

    /** Handles a new connection of a router or controller. */
    public void onConnected(PeerConnection connection) {
        if (connection.peerHello().role().equals(NodeRoles.ROUTER)) {
            routersByZone
                    .computeIfAbsent(connection.peerHello().zone(), zone -> new LinkedHashSet<>())
                    .add(connection);
        } else if (connection.isOutbound() && !connection.peerHello().zone().equals(ownZone)) {
            relayCandidates.put(connection, loop.nanoTime());
        }
    }

    /** Handles the loss of a connection of a router or controller. */
    public void onDisconnected(PeerConnection connection) {
        relayCandidates.remove(connection);
        Set<PeerConnection> routers = routersByZone.get(connection.peerHello().zone());
        if (routers != null && routers.remove(connection) && routers.isEmpty()) {
            routersByZone.remove(connection.peerHello().zone());
        }
    }

    /** Forwards events from a router, or from a controller that relays them to this zone. */
    public void onPrefixCacheEvents(PeerConnection from, PrefixCacheEvents events) {
        PendingFrame frame = new PendingFrame(from, codec.encode(events));
        forOwnZone.add(frame);
        if (!frame.isRelayed()) {
            forOtherZones.add(frame);
        }
    }

    private void sendToOwnZone(List<PendingFrame> frames) {
        routersByZone.getOrDefault(ownZone, Set.of()).forEach(router -> send(frames, router));
    }

    private void sendToOtherZones(List<PendingFrame> frames) {
        routersByZone.forEach((zone, routers) -> {
            if (!zone.equals(ownZone)) {
                PeerConnection relay = relayFor(zone);
                if (relay != null) {
                    send(frames, relay);
                } else {
                    routers.forEach(router -> send(frames, router));
                }
            }
        });
    }

    /** Frames that wait to be sent together. */
    private final class Batch {
        private final long delayNanos;
        private final Consumer<List<PendingFrame>> sender;
        private List<PendingFrame> pending = new ArrayList<>();

        Batch(long delayNanos, Consumer<List<PendingFrame>> sender) {
            this.delayNanos = delayNanos;
            this.sender = sender;
        }

        void add(PendingFrame frame) {
            pending.add(frame);
            if (pending.size() >= MAX_PENDING_FRAMES) {
                flush();
            } else if (pending.size() == 1) {
                loop.schedule(delayNanos, this::flush);
            }
        }

        private void flush() {
            List<PendingFrame> frames = pending;
            pending = new ArrayList<>();
            if (!frames.isEmpty()) {
                sender.accept(frames);
            }
        }
    }

    private static void send(List<PendingFrame> frames, PeerConnection to) {
        for (int i = 0; i < frames.size(); i++) {
            PendingFrame pending = frames.get(i);
            if (pending.from() != to) {
                to.sendFrame(pending.frame());
            }
        }
    }

    /**
     * Selects the controller that relays this process's frames in the given zone, by rendezvous hashing; null if there
     * is none.
     */
    private PeerConnection relayFor(String zone) {
        long now = loop.nanoTime();
        PeerConnection relay = null;
        double relayScore = -1;
        for (Map.Entry<PeerConnection, Long> entry : relayCandidates.entrySet()) {
            PeerConnection candidate = entry.getKey();
            boolean eligible =
                    candidate.peerHello().zone().equals(zone) && now - entry.getValue() >= RELAY_ELIGIBLE_AFTER_NANOS;
            double score =
                    eligible ? RendezvousAssignment.score(candidate.peerHello().nodeName(), ownAddress) : -1;
            if (score > relayScore) {
                relayScore = score;
                relay = candidate;
            }
        }
        return relay;
    }
}
