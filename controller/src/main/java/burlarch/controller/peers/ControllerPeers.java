package burlarch.controller.peers;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate;
import burlarch.settings.Addresses;
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
 * The other controllers: known by the seeds and by what controllers tell of one another, each with the
 * connection that this process asked for. Lives on the loop.
 */
public final class ControllerPeers {
    /** Most controllers that are known; the one that is longest out of reach gives way to a further one. */
    static final int MAX_PEERS = 32;
    /** Others are told of a controller that is out of reach for so long. */
    private static final long ADVERTISED_AFTER_LOSS_NANOS = 60_000_000_000L;

    private static final class Peer {
        private String storageId = "";
        private String incarnation = "";
        private PeerConnection connection;
        private long changedAtNanos;
        /** Whether there ever was a connection. */
        private boolean met;
    }

    private final EventLoop loop;
    private final PeerConnections transport;
    private final String ownAddress;
    private final Map<String, Peer> peers = new TreeMap<>();
    /** The acceptors: never forgotten. */
    private Set<String> acceptorAddresses = Set.of();

    public ControllerPeers(EventLoop loop, PeerConnections transport, String ownAddress) {
        this.loop = loop;
        this.transport = transport;
        this.ownAddress = ownAddress;
    }

    /** Connects to those that were not known. */
    public void addAddresses(Collection<String> addresses) {
        for (String address : addresses) {
            if (!address.equals(ownAddress) && !peers.containsKey(address) && makeRoom()) {
                Peer peer = new Peer();
                peer.changedAtNanos = loop.nanoTime();
                peers.put(address, peer);
                transport.connect(Addresses.parse(address));
            }
        }
    }

    /** Learns where the acceptors are, and forgets none of them until it is told of others. */
    public void retainAcceptors(Collection<String> acceptors) {
        acceptorAddresses = Set.copyOf(acceptors);
        addAddresses(acceptors);
    }

    /** Forgets the one that is longest out of reach where there are too many. */
    private boolean makeRoom() {
        if (peers.size() < MAX_PEERS) {
            return true;
        }
        String longest = null;
        for (Map.Entry<String, Peer> entry : peers.entrySet()) {
            boolean away = entry.getValue().connection == null && !acceptorAddresses.contains(entry.getKey());
            if (away && (longest == null || entry.getValue().changedAtNanos - peers.get(longest).changedAtNanos < 0)) {
                longest = entry.getKey();
            }
        }
        if (longest == null) {
            return false;
        }
        peers.remove(longest);
        transport.disconnect(Addresses.parse(longest));
        return true;
    }

    /** A connection to or from a controller is up. */
    public void onUp(PeerConnection connection) {
        NodeMessage.Hello hello = connection.peerHello();
        addAddresses(List.of(hello.address()));
        Peer peer = peers.get(hello.address());
        if (peer != null && connection.isOutbound()) {
            peer.storageId = hello.storage();
            peer.incarnation = hello.incarnation();
            peer.connection = connection;
            peer.met = true;
            peer.changedAtNanos = loop.nanoTime();
        }
    }

    /** A connection to or from a controller is gone. */
    public void onDown(PeerConnection connection) {
        Peer peer = peers.get(connection.peerHello().address());
        if (peer != null && peer.connection == connection) {
            peer.connection = null;
            peer.changedAtNanos = loop.nanoTime();
        }
    }

    /** Sends to one controller; dropped where it can't be reached. */
    public void send(String address, NodeMessage message) {
        Peer peer = peers.get(address);
        if (peer != null && peer.connection != null) {
            peer.connection.send(message);
        }
    }

    /** Sends to all controllers that can be reached. */
    public void sendAll(NodeMessage message) {
        byte[] frame = transport.codec().encode(message);
        for (Peer peer : peers.values()) {
            if (peer.connection != null) {
                peer.connection.sendFrame(frame);
            }
        }
    }

    /** Whether that controller can be reached. */
    public boolean isConnected(String address) {
        Peer peer = peers.get(address);
        return address.equals(ownAddress) || peer != null && peer.connection != null;
    }

    /** Of the process that was last connected with there; empty where there was none. */
    public String incarnationAt(String address) {
        Peer peer = peers.get(address);
        return peer == null ? "" : peer.incarnation;
    }

    /** Whether all controllers that are known can be reached. */
    public boolean allConnected() {
        return connectedAddresses().size() == peers.size();
    }

    /** Since when that controller is up or down; 0 where it was never heard of. */
    public long connectivityChangedAtNanos(String address) {
        Peer peer = peers.get(address);
        return peer == null ? 0 : peer.changedAtNanos;
    }

    /** Addresses of the controllers that can be reached, in order; without this one. */
    public List<String> connectedAddresses() {
        List<String> up = new ArrayList<>();
        peers.forEach((address, peer) -> {
            if (peer.connection != null) {
                up.add(address);
            }
        });
        return up;
    }

    /**
     * Addresses that others are told of: this one, the acceptors, and those that were connected lately. Not
     * what was only heard: else an address that is gone would be passed around for ever.
     */
    public List<String> advertisedAddresses() {
        List<String> told = new ArrayList<>();
        long now = loop.nanoTime();
        peers.forEach((address, peer) -> {
            boolean lately = peer.met && now - peer.changedAtNanos < ADVERTISED_AFTER_LOSS_NANOS;
            if (peer.connection != null || lately || acceptorAddresses.contains(address)) {
                told.add(address);
            }
        });
        told.add(ownAddress);
        return told;
    }

    /** The acceptors of all controllers that were heard of, for the plan of the acceptor set. */
    public List<Candidate> candidates() {
        List<Candidate> candidates = new ArrayList<>();
        peers.forEach((address, peer) -> {
            if (!peer.storageId.isEmpty() || peer.connection == null) {
                candidates.add(new Candidate(
                        new AcceptorMember(peer.storageId, address), peer.connection != null, peer.changedAtNanos));
            }
        });
        return candidates;
    }
}
