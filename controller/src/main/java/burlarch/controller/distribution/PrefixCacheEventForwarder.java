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
 * Forwards prefix-cache events that one router has read from an engine to all other routers, without decoding them.
 * Runs on the event loop.
 *
 * <p>A frame crosses to each other zone once: to a controller there, which forwards it to the routers of its own zone.
 * Routers of a zone without such a controller are sent it from here. Frames that arrive within a short time are sent
 * together, so that each router wakes once for many; what crosses to another zone waits there once more, so it
 * waits here only briefly. Losses are allowed: the receiver finds them by the sequence numbers of the source.
 */
public final class PrefixCacheEventForwarder {
    /** How long the oldest frame of a batch for routers waits. */
    static final long BATCH_DELAY_NANOS = 100_000_000;
    /** How long the oldest frame of a batch for the controllers of other zones waits. */
    static final long RELAY_DELAY_NANOS = 20_000_000;
    /**
     * A controller is a relay for its zone once it has been connected for so long: routers retry connections at least
     * once a second, so those of its zone are connected to it by then.
     */
    static final long RELAY_ELIGIBLE_AFTER_NANOS = 2_000_000_000;
    /** The most frames of a batch; a full batch is sent at once. */
    private static final int MAX_PENDING_FRAMES = 256;

    private final EventLoop loop;
    private final FrameCodec codec;
    private final String ownAddress;
    private final String ownZone;
    private final Map<String, Set<PeerConnection>> routersByZone = new HashMap<>();
    /** Outbound connections to the controllers of other zones, with the time of their start in nanoseconds. */
    private final Map<PeerConnection, Long> relayCandidates = new LinkedHashMap<>();

    private final Batch forOwnZone = new Batch(BATCH_DELAY_NANOS, this::sendToOwnZone);
    private final Batch forOtherZones = new Batch(RELAY_DELAY_NANOS, this::sendToOtherZones);

    private record PendingFrame(PeerConnection from, byte[] frame) {
        /** Whether its sender, a controller, has forwarded it to the other zones already. */
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

    /** A router or a controller is connected. */
    public void onConnected(PeerConnection connection) {
        if (connection.peerHello().role().equals(NodeRoles.ROUTER)) {
            routersByZone
                    .computeIfAbsent(connection.peerHello().zone(), zone -> new LinkedHashSet<>())
                    .add(connection);
        } else if (connection.isOutbound() && !connection.peerHello().zone().equals(ownZone)) {
            relayCandidates.put(connection, loop.nanoTime());
        }
    }

    /** A router or a controller is disconnected. */
    public void onDisconnected(PeerConnection connection) {
        relayCandidates.remove(connection);
        Set<PeerConnection> routers = routersByZone.get(connection.peerHello().zone());
        if (routers != null && routers.remove(connection) && routers.isEmpty()) {
            routersByZone.remove(connection.peerHello().zone());
        }
    }

    /** Events of a router, or of a controller that forwards them for its zone. */
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

    /** Frames that wait to be sent together. A full batch is sent at once. */
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
            List<PendingFrame> due = pending;
            pending = new ArrayList<>();
            if (!due.isEmpty()) {
                sender.accept(due);
            }
        }
    }

    private static void send(List<PendingFrame> frames, PeerConnection to) {
        for (int i = 0; i < frames.size(); i++) {
            PendingFrame one = frames.get(i);
            if (one.from() != to) {
                to.sendFrame(one.frame());
            }
        }
    }

    /** The controller that relays frames of this process in that zone; null if there is none. */
    private PeerConnection relayFor(String zone) {
        long now = loop.nanoTime();
        PeerConnection best = null;
        double bestScore = -1;
        for (Map.Entry<PeerConnection, Long> one : relayCandidates.entrySet()) {
            PeerConnection candidate = one.getKey();
            boolean eligible =
                    candidate.peerHello().zone().equals(zone) && now - one.getValue() >= RELAY_ELIGIBLE_AFTER_NANOS;
            double score =
                    eligible ? RendezvousAssignment.score(candidate.peerHello().nodeName(), ownAddress) : -1;
            if (score > bestScore) {
                bestScore = score;
                best = candidate;
            }
        }
        return best;
    }
}
