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

/**
 * Passes on, unread, what one router read of kept parts to all others. A batch crosses to each other zone
 * once, to a controller there, which passes it on to the routers of its own zone; a zone without such a
 * controller is served from here. What comes within a short time leaves together, so that each router is
 * written to, and wakes, once for many. What is lost on the way shows in the numbering of its source. Lives
 * on the loop.
 */
public final class PrefixCacheEventForwarder {
    /** How long the oldest batch waits, nanoseconds. */
    static final long BATCH_DELAY_NANOS = 50_000_000;
    /**
     * A controller passes on for others once it has been connected for so long: routers try again once a
     * second at the least, so they are connected with it by then.
     */
    static final long RELAY_ELIGIBLE_AFTER_NANOS = 2_000_000_000;
    /** What may wait; with more it leaves at once. */
    private static final int MAX_PENDING_FRAMES = 256;

    private final EventLoop loop;
    private final FrameCodec codec;
    private final String ownAddress;
    private final String ownZone;
    private final Map<String, Set<PeerConnection>> routersByZone = new HashMap<>();
    /** Connections that this side asked for, one to each controller of another zone, with their begin. */
    private final Map<PeerConnection, Long> relayCandidates = new LinkedHashMap<>();

    private List<PendingFrame> pending = new ArrayList<>();

    private record PendingFrame(PeerConnection from, byte[] frame) {
        /** Whether the sender has passed it to the other zones already. */
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

    public void onUp(PeerConnection connection) {
        if (connection.peerHello().role().equals(NodeRoles.ROUTER)) {
            routersByZone
                    .computeIfAbsent(connection.peerHello().zone(), zone -> new LinkedHashSet<>())
                    .add(connection);
        } else if (connection.isOutbound() && !connection.peerHello().zone().equals(ownZone)) {
            relayCandidates.put(connection, loop.nanoTime());
        }
    }

    public void onDown(PeerConnection connection) {
        relayCandidates.remove(connection);
        Set<PeerConnection> routers = routersByZone.get(connection.peerHello().zone());
        if (routers != null && routers.remove(connection) && routers.isEmpty()) {
            routersByZone.remove(connection.peerHello().zone());
        }
    }

    public void onPrefixCacheEvents(PeerConnection from, PrefixCacheEvents parts) {
        pending.add(new PendingFrame(from, codec.encode(parts)));
        if (pending.size() >= MAX_PENDING_FRAMES) {
            forward();
        } else if (pending.size() == 1) {
            loop.schedule(BATCH_DELAY_NANOS, this::forward);
        }
    }

    private void forward() {
        List<PendingFrame> leaving = pending;
        pending = new ArrayList<>();
        if (leaving.isEmpty()) {
            return;
        }
        List<PendingFrame> first = new ArrayList<>(leaving);
        first.removeIf(PendingFrame::isRelayed);
        routersByZone.forEach((zone, routers) -> {
            PeerConnection relay = zone.equals(ownZone) ? null : relayFor(zone);
            if (relay != null) {
                send(first, relay);
            } else {
                List<PendingFrame> due = zone.equals(ownZone) ? leaving : first;
                routers.forEach(router -> send(due, router));
            }
        });
    }

    private static void send(List<PendingFrame> frames, PeerConnection to) {
        for (int i = 0; i < frames.size(); i++) {
            PendingFrame one = frames.get(i);
            if (one.from() != to) {
                to.sendFrame(one.frame());
            }
        }
    }

    /** The controller of that zone that passes on what comes from here, or null where there is none. */
    private PeerConnection relayFor(String zone) {
        long now = loop.nanoTime();
        PeerConnection best = null;
        double most = -1;
        for (Map.Entry<PeerConnection, Long> one : relayCandidates.entrySet()) {
            PeerConnection link = one.getKey();
            boolean fits = link.peerHello().zone().equals(zone) && now - one.getValue() >= RELAY_ELIGIBLE_AFTER_NANOS;
            double score = fits ? RendezvousAssignment.score(link.peerHello().nodeName(), ownAddress) : -1;
            if (score > most) {
                most = score;
                best = link;
            }
        }
        return best;
    }
}
