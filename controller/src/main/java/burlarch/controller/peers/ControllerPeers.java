package burlarch.controller.peers;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate;
import burlarch.settings.LiteralAddresses;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import burlarch.transport.PeerConnections;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The other controllers: their addresses, from the seeds and from what controllers tell one another, each with the
 * connection that this process opened. Runs on the controller's event loop; in memory only.
 *
 * <table>
 * <caption>Connectivity of a peer</caption>
 * <tr><th>from</th><th>event</th><th>to</th></tr>
 * <tr><td></td><td>its address is learned</td><td>NEVER_CONNECTED</td></tr>
 * <tr><td>any</td><td>{@link #onConnected} with an outbound connection</td><td>CONNECTED</td></tr>
 * <tr><td>CONNECTED</td><td>{@link #onDisconnected} with that connection</td><td>DISCONNECTED</td></tr>
 * <tr><td>NEVER_CONNECTED, DISCONNECTED</td><td>another address needs its place, and it is no
 * acceptor</td><td>forgotten
 * </td></tr>
 * </table>
 *
 * <p>Invariant <em>acceptors are never forgotten</em>: the addresses of {@link #retainAcceptors} stay, whatever else is
 * learned, because without them no quorum can be reached.
 */
public final class ControllerPeers {
    /** The most known peers; when full, the one that has been out of reach for longest is forgotten. */
    static final int MAX_PEERS = 32;
    /** How long after its connection was lost a peer's address is still told to others. */
    private static final long ADVERTISED_AFTER_LOSS_NANOS = 60_000_000_000L;

    private enum Connectivity {
        NEVER_CONNECTED,
        CONNECTED,
        DISCONNECTED
    }

    /** What a controller says of its acceptor; {@code TAKES_PART} until it says otherwise. */
    private enum AcceptorStatus {
        TAKES_PART,
        ABSTAINS
    }

    private static final class Peer {
        private Connectivity connectivity = Connectivity.NEVER_CONNECTED;
        private long changedAtNanos;
        /** Of the process that was connected last; empty before the first connection. */
        private String storageId = "";

        private String incarnation = "";
        private AcceptorStatus acceptor = AcceptorStatus.TAKES_PART;
        private long acceptorSinceNanos;
        /** Not null exactly while CONNECTED. */
        private PeerConnection connection;

        Peer(long nowNanos) {
            changedAtNanos = nowNanos;
        }

        private boolean isConnected() {
            return connectivity == Connectivity.CONNECTED;
        }

        private void onAcceptorStatus(AcceptorStatus status, long nowNanos) {
            if (status != acceptor) {
                acceptor = status;
                acceptorSinceNanos = nowNanos;
            }
        }

        private Candidate candidate(String address) {
            AcceptorMember member = new AcceptorMember(storageId, address);
            if (!isConnected()) {
                return Candidate.ofUnreachable(member, changedAtNanos);
            }
            return acceptor == AcceptorStatus.ABSTAINS
                    ? Candidate.ofAbstaining(member, acceptorSinceNanos)
                    : Candidate.ofReachable(member, changedAtNanos);
        }

        /** The one place where the connectivity changes. */
        private void become(Connectivity next, PeerConnection newConnection, long nowNanos) {
            connectivity = next;
            connection = newConnection;
            changedAtNanos = nowNanos;
        }
    }

    private final EventLoop loop;
    private final PeerConnections connections;
    private final String ownAddress;
    /** In the order of addresses, which is the order in which peers are sent to. */
    private final Map<String, Peer> peers = new TreeMap<>();

    private Set<String> acceptorAddresses = Set.of();

    /** @param ownAddress IP:PORT of this process, which is never one of the peers */
    public ControllerPeers(EventLoop loop, PeerConnections connections, String ownAddress) {
        this.loop = loop;
        this.connections = connections;
        this.ownAddress = ownAddress;
    }

    /** Connects to the addresses that were not known. */
    public void addAddresses(Collection<String> addresses) {
        for (String address : addresses) {
            if (!address.equals(ownAddress) && !peers.containsKey(address) && makeRoom()) {
                peers.put(address, new Peer(loop.nanoTime()));
                connections.connect(LiteralAddresses.parse(address));
            }
        }
    }

    /** Learns the addresses of the acceptors; none of them is forgotten before the next call. */
    public void retainAcceptors(Collection<String> acceptors) {
        acceptorAddresses = Set.copyOf(acceptors);
        addAddresses(acceptors);
    }

    /**
     * Forgets the peer that has been out of reach for longest if there are too many; false if none may be forgotten.
     */
    private boolean makeRoom() {
        if (peers.size() < MAX_PEERS) {
            return true;
        }
        String longest = null;
        for (Map.Entry<String, Peer> entry : peers.entrySet()) {
            Peer peer = entry.getValue();
            boolean forgettable = !peer.isConnected() && !acceptorAddresses.contains(entry.getKey());
            if (forgettable && (longest == null || peer.changedAtNanos - peers.get(longest).changedAtNanos < 0)) {
                longest = entry.getKey();
            }
        }
        if (longest == null) {
            return false;
        }
        peers.remove(longest);
        connections.disconnect(LiteralAddresses.parse(longest));
        return true;
    }

    /** A connection to or from a controller is established. */
    public void onConnected(PeerConnection connection) {
        NodeMessage.Hello hello = connection.peerHello();
        addAddresses(List.of(hello.address()));
        Peer peer = peers.get(hello.address());
        if (peer != null && connection.isOutbound()) {
            if (!peer.incarnation.equals(hello.incarnation())) {
                peer.onAcceptorStatus(AcceptorStatus.TAKES_PART, loop.nanoTime());
            }
            peer.storageId = hello.storage();
            peer.incarnation = hello.incarnation();
            peer.become(Connectivity.CONNECTED, connection, loop.nanoTime());
        }
    }

    /** A controller says over a connection whether its acceptor abstains. */
    public void onAcceptorStatus(PeerConnection connection, boolean abstains) {
        NodeMessage.Hello hello = connection.peerHello();
        Peer peer = peers.get(hello.address());
        if (peer != null && peer.incarnation.equals(hello.incarnation())) {
            peer.onAcceptorStatus(abstains ? AcceptorStatus.ABSTAINS : AcceptorStatus.TAKES_PART, loop.nanoTime());
        }
    }

    /** A connection to or from a controller is lost. */
    public void onDisconnected(PeerConnection connection) {
        Peer peer = peers.get(connection.peerHello().address());
        if (peer != null && peer.connection == connection) {
            peer.become(Connectivity.DISCONNECTED, null, loop.nanoTime());
        }
    }

    /** Sends to one controller; the message is dropped if it is not connected. */
    public void send(String address, NodeMessage message) {
        Peer peer = peers.get(address);
        if (peer != null && peer.isConnected()) {
            peer.connection.send(message);
        }
    }

    /** Sends to all connected controllers. */
    public void sendAll(NodeMessage message) {
        byte[] frame = connections.codec().encode(message);
        for (Peer peer : peers.values()) {
            if (peer.isConnected()) {
                peer.connection.sendFrame(frame);
            }
        }
    }

    /** Whether the controller at the address is connected; true for the own address. */
    public boolean isConnected(String address) {
        Peer peer = peers.get(address);
        return address.equals(ownAddress) || peer != null && peer.isConnected();
    }

    /** The incarnation of the process that was connected last at the address; empty if there was none. */
    public String incarnationAt(String address) {
        Peer peer = peers.get(address);
        return peer == null ? "" : peer.incarnation;
    }

    /** Whether all known controllers are connected. */
    public boolean allConnected() {
        return connectedAddresses().size() == peers.size();
    }

    /** When the controller was connected or lost, in nanoseconds of the loop's clock; 0 if its address is unknown. */
    public long connectivityChangedAtNanos(String address) {
        Peer peer = peers.get(address);
        return peer == null ? 0 : peer.changedAtNanos;
    }

    /** The addresses of the connected controllers in order, without the own one. */
    public List<String> connectedAddresses() {
        List<String> connected = new ArrayList<>();
        peers.forEach((address, peer) -> {
            if (peer.isConnected()) {
                connected.add(address);
            }
        });
        return connected;
    }

    /**
     * The addresses that others are told: the own one, the acceptors, and peers that are or recently were connected.
     * Addresses that were only heard of are left out, because controllers would otherwise keep a dead address alive by
     * telling it to one another.
     */
    public List<String> advertisedAddresses() {
        List<String> advertised = new ArrayList<>();
        long now = loop.nanoTime();
        peers.forEach((address, peer) -> {
            if (peer.isConnected() || isRecentlyLost(peer, now) || acceptorAddresses.contains(address)) {
                advertised.add(address);
            }
        });
        advertised.add(ownAddress);
        return advertised;
    }

    private static boolean isRecentlyLost(Peer peer, long nowNanos) {
        return peer.connectivity == Connectivity.DISCONNECTED
                && nowNanos - peer.changedAtNanos < ADVERTISED_AFTER_LOSS_NANOS;
    }

    /** The acceptors of all known controllers, from which the acceptor set is planned. */
    public List<Candidate> candidates() {
        List<Candidate> candidates = new ArrayList<>();
        peers.forEach((address, peer) -> {
            if (!peer.storageId.isEmpty() || !peer.isConnected()) {
                candidates.add(peer.candidate(address));
            }
        });
        return candidates;
    }
}
