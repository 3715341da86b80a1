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
 * Bounded table of the other controllers, with the connection that this process opened to each. Addresses come from the
 * seeds and from the status messages of other controllers. Runs on the controller's event loop; in memory only.
 *
 * <table>
 * <caption>Connectivity of a peer</caption>
 * <tr><th>from</th><th>event</th><th>to</th></tr>
 * <tr><td></td><td>its address is learned</td><td>NEVER_CONNECTED</td></tr>
 * <tr><td>any</td><td>{@link #onConnected} with an outbound connection</td><td>CONNECTED</td></tr>
 * <tr><td>CONNECTED</td><td>{@link #onDisconnected} with that connection</td><td>DISCONNECTED</td></tr>
 * <tr><td>NEVER_CONNECTED, DISCONNECTED</td><td>the table is full, and the peer is not an
 * acceptor</td><td>evicted</td></tr>
 * </table>
 *
 * <p>Invariant <em>acceptors are never evicted</em>: the addresses of {@link #retainAcceptors} are kept, because
 * without them no quorum can be reached.
 */
public final class ControllerPeers {
    /** Limit of known peers; when full, the one that has been unreachable for longest is evicted. */
    static final int MAX_PEERS = 32;
    /** Time after the loss of its connection for which a peer's address is still advertised. */
    private static final long ADVERTISED_AFTER_LOSS_NANOS = 60_000_000_000L;

    private enum Connectivity {
        NEVER_CONNECTED,
        CONNECTED,
        DISCONNECTED
    }

    /** The status that a controller reports for its acceptor; {@code TAKES_PART} until it reports otherwise. */
    private enum AcceptorStatus {
        TAKES_PART,
        ABSTAINS
    }

    private static final class Peer {
        private Connectivity connectivity = Connectivity.NEVER_CONNECTED;
        private long changedAtNanos;
        /** Storage identity of the process that was connected last; empty before the first connection. */
        private String storageId = "";

        /** Incarnation of the process that was connected last; empty before the first connection. */
        private String incarnation = "";

        private AcceptorStatus acceptorStatus = AcceptorStatus.TAKES_PART;
        private long acceptorStatusSinceNanos;
        /** Not null exactly while CONNECTED. */
        private PeerConnection connection;

        Peer(long nowNanos) {
            changedAtNanos = nowNanos;
        }

        private boolean isConnected() {
            return connectivity == Connectivity.CONNECTED;
        }

        private void onAcceptorStatus(AcceptorStatus status, long nowNanos) {
            if (status != acceptorStatus) {
                acceptorStatus = status;
                acceptorStatusSinceNanos = nowNanos;
            }
        }

        private Candidate candidate(String address) {
            AcceptorMember member = new AcceptorMember(storageId, address);
            if (!isConnected()) {
                return Candidate.ofUnreachable(member, changedAtNanos);
            }
            return acceptorStatus == AcceptorStatus.ABSTAINS
                    ? Candidate.ofAbstaining(member, acceptorStatusSinceNanos)
                    : Candidate.ofReachable(member, changedAtNanos);
        }

        /** Sets the connectivity. Only this method changes it. */
        private void setConnectivity(Connectivity next, PeerConnection newConnection, long nowNanos) {
            connectivity = next;
            connection = newConnection;
            changedAtNanos = nowNanos;
        }
    }

    private final EventLoop loop;
    private final PeerConnections connections;
    private final String ownAddress;
    /** Ordered by address; messages to all peers are sent in this order. */
    private final Map<String, Peer> peers = new TreeMap<>();

    private Set<String> acceptorAddresses = Set.of();

    /** @param ownAddress IP:PORT of this process, which is never in the table */
    public ControllerPeers(EventLoop loop, PeerConnections connections, String ownAddress) {
        this.loop = loop;
        this.connections = connections;
        this.ownAddress = ownAddress;
    }

    /**
     * Adds and connects to the addresses that are not known yet. Ignores the own address, and new addresses while no
     * peer can be evicted.
     */
    public void addAddresses(Collection<String> addresses) {
        for (String address : addresses) {
            if (!address.equals(ownAddress) && !peers.containsKey(address) && evictIfFull()) {
                peers.put(address, new Peer(loop.nanoTime()));
                connections.connect(LiteralAddresses.parse(address));
            }
        }
    }

    /** Sets and adds the addresses of the acceptors; none of them is evicted before the next call. */
    public void retainAcceptors(Collection<String> acceptors) {
        acceptorAddresses = Set.copyOf(acceptors);
        addAddresses(acceptors);
    }

    /**
     * Evicts the peer that has been unreachable for longest if the table is full. Returns whether there is room for a
     * new peer.
     */
    private boolean evictIfFull() {
        if (peers.size() < MAX_PEERS) {
            return true;
        }
        String evictionCandidate = null;
        for (Map.Entry<String, Peer> entry : peers.entrySet()) {
            Peer peer = entry.getValue();
            boolean evictable = !peer.isConnected() && !acceptorAddresses.contains(entry.getKey());
            if (evictable
                    && (evictionCandidate == null
                            || peer.changedAtNanos - peers.get(evictionCandidate).changedAtNanos < 0)) {
                evictionCandidate = entry.getKey();
            }
        }
        if (evictionCandidate == null) {
            return false;
        }
        peers.remove(evictionCandidate);
        connections.disconnect(LiteralAddresses.parse(evictionCandidate));
        return true;
    }

    /** Handles a new connection to or from a controller. */
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
            peer.setConnectivity(Connectivity.CONNECTED, connection, loop.nanoTime());
        }
    }

    /** Handles a controller's report on whether its acceptor abstains. */
    public void onAcceptorStatus(PeerConnection connection, boolean abstains) {
        NodeMessage.Hello hello = connection.peerHello();
        Peer peer = peers.get(hello.address());
        if (peer != null && peer.incarnation.equals(hello.incarnation())) {
            peer.onAcceptorStatus(abstains ? AcceptorStatus.ABSTAINS : AcceptorStatus.TAKES_PART, loop.nanoTime());
        }
    }

    /** Handles the loss of a connection to or from a controller. */
    public void onDisconnected(PeerConnection connection) {
        Peer peer = peers.get(connection.peerHello().address());
        if (peer != null && peer.connection == connection) {
            peer.setConnectivity(Connectivity.DISCONNECTED, null, loop.nanoTime());
        }
    }

    /** Sends a message to one controller; drops it if the controller is not connected. */
    public void send(String address, NodeMessage message) {
        Peer peer = peers.get(address);
        if (peer != null && peer.isConnected()) {
            peer.connection.send(message);
        }
    }

    /** Sends a message to all connected controllers. */
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

    /** The incarnation of the process that was last connected at the address; empty if there was none. */
    public String incarnationAt(String address) {
        Peer peer = peers.get(address);
        return peer == null ? "" : peer.incarnation;
    }

    /** Whether all known controllers are connected. */
    public boolean allConnected() {
        return connectedAddresses().size() == peers.size();
    }

    /**
     * Time of the last change of the controller's connectivity, in nanoseconds of the loop's clock; 0 if its address is
     * unknown.
     */
    public long connectivityChangedAtNanos(String address) {
        Peer peer = peers.get(address);
        return peer == null ? 0 : peer.changedAtNanos;
    }

    /** The addresses of the connected controllers in ascending order, without the own one. */
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
     * The addresses to advertise to other nodes: the own one, the acceptors, and peers that are or recently were
     * connected. Addresses to which there never was a connection are left out, because controllers would otherwise keep
     * a dead address alive by advertising it to one another.
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

    /** The acceptors of all known controllers, as candidates for the acceptor set. */
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
