package burlarch.fleet.controller;

import burlarch.coordination.register.AcceptorSetPlan.Candidate;
import burlarch.coordination.register.Member;
import burlarch.settings.Addresses;
import burlarch.transport.Link;
import burlarch.transport.Links;
import burlarch.transport.Loop;
import burlarch.transport.NodeMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The other controllers: known by the seeds and by what controllers tell of one another, each with the
 * connection that this process asked for. Lives on the loop.
 */
final class ControllerPeers {
    /** Most controllers that are known; further addresses are passed over. */
    private static final int MOST_PEERS = 32;

    private static final class Peer {
        private String storage = "";
        private String incarnation = "";
        private Link connection;
        private long sinceNanos;
    }

    private final Loop loop;
    private final Links transport;
    private final String ownAddress;
    private final Map<String, Peer> peers = new TreeMap<>();

    ControllerPeers(Loop loop, Links transport, String ownAddress) {
        this.loop = loop;
        this.transport = transport;
        this.ownAddress = ownAddress;
    }

    /** Connects to those that were not known. */
    void learn(Collection<String> addresses) {
        for (String address : addresses) {
            if (!address.equals(ownAddress) && !peers.containsKey(address) && peers.size() < MOST_PEERS) {
                Peer peer = new Peer();
                peer.sinceNanos = loop.nanoTime();
                peers.put(address, peer);
                transport.connect(Addresses.parse(address));
            }
        }
    }

    /** A connection to or from a controller is up. */
    void onUp(Link connection) {
        NodeMessage.Hello hello = connection.peer();
        learn(List.of(hello.address()));
        Peer peer = peers.get(hello.address());
        if (peer != null && connection.outgoing()) {
            peer.storage = hello.storage();
            peer.incarnation = hello.incarnation();
            peer.connection = connection;
            peer.sinceNanos = loop.nanoTime();
        }
    }

    /** A connection to or from a controller is gone. */
    void onDown(Link connection) {
        Peer peer = peers.get(connection.peer().address());
        if (peer != null && peer.connection == connection) {
            peer.connection = null;
            peer.sinceNanos = loop.nanoTime();
        }
    }

    /** Sends to one controller; dropped where it can't be reached. */
    void send(String address, NodeMessage message) {
        Peer peer = peers.get(address);
        if (peer != null && peer.connection != null) {
            peer.connection.send(message);
        }
    }

    /** Sends to all controllers that can be reached. */
    void sendAll(NodeMessage message) {
        byte[] frame = transport.codec().encode(message);
        for (Peer peer : peers.values()) {
            if (peer.connection != null) {
                peer.connection.sendFrame(frame);
            }
        }
    }

    /** Whether that controller can be reached. */
    boolean isUp(String address) {
        Peer peer = peers.get(address);
        return address.equals(ownAddress) || peer != null && peer.connection != null;
    }

    /** Of the process that was last connected with there; empty where there was none. */
    String incarnation(String address) {
        Peer peer = peers.get(address);
        return peer == null ? "" : peer.incarnation;
    }

    /** Whether all controllers that are known can be reached. */
    boolean allUp() {
        return upAddresses().size() == peers.size();
    }

    /** Since when that controller is up or down; 0 where it was never heard of. */
    long sinceNanos(String address) {
        Peer peer = peers.get(address);
        return peer == null ? 0 : peer.sinceNanos;
    }

    /** Addresses of the controllers that can be reached, in order; without this one. */
    List<String> upAddresses() {
        List<String> up = new ArrayList<>();
        peers.forEach((address, peer) -> {
            if (peer.connection != null) {
                up.add(address);
            }
        });
        return up;
    }

    /** Addresses of all that are known, this one included. */
    List<String> knownAddresses() {
        List<String> known = new ArrayList<>(peers.keySet());
        known.add(ownAddress);
        return known;
    }

    /** The acceptors of all controllers that were heard of, for the plan of the acceptor set. */
    List<Candidate> candidates() {
        List<Candidate> candidates = new ArrayList<>();
        peers.forEach((address, peer) -> {
            if (!peer.storage.isEmpty() || peer.connection == null) {
                candidates.add(new Candidate(new Member(peer.storage, address), peer.connection != null,
                        peer.sinceNanos));
            }
        });
        return candidates;
    }
}
