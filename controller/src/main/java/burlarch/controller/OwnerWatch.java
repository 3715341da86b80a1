package burlarch.controller;

import burlarch.coordination.membership.MemberState;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether the owner of a duty still lives. What left is gone, and what membership holds dead once this
 * process can't reach it either. That routers still vouch for an owner counts for nothing: cut off from the
 * other controllers it has no quorum and can't act. Lives on the loop.
 */
final class OwnerWatch {
    /**
     * A controller that is out of reach for less may only be slow: its duties stay with it. One that was
     * restarted loses them this long after it is back, when those that start together have all met.
     */
    private static final long LOST_NANOS = 1_000_000_000;

    private final ControllerPeers peers;
    private final KnownControllers controllers;
    private final String ownAddress;

    OwnerWatch(ControllerPeers peers, KnownControllers controllers, String ownAddress) {
        this.peers = peers;
        this.controllers = controllers;
        this.ownAddress = ownAddress;
    }

    /** Name of the process as the holder of a duty. */
    static String holderName(String processName, String address) {
        return processName + "@" + address;
    }

    /** Whether the other process that is known by this holder's name lives. */
    boolean lives(String holder, long now) {
        int at = holder.lastIndexOf('@');
        String address = holder.substring(at + 1);
        if (address.equals(ownAddress)) {
            return false;
        }
        String incarnation = Incarnations.ofProcessName(holder.substring(0, at));
        MemberState state = controllers.stateOf(address, incarnation);
        if (state == MemberState.LEFT) {
            return false;
        }
        boolean lately = now - peers.sinceNanos(address) < LOST_NANOS;
        if (peers.isUp(address)) {
            return lately || incarnation.equals(peers.incarnation(address));
        }
        return lately && state != MemberState.DEAD;
    }

    /** Whether all controllers that are known can be reached. */
    boolean allUp() {
        return peers.allUp();
    }

    /** Addresses of those that can take a duty, this process included. */
    List<String> candidates() {
        List<String> live = new ArrayList<>(peers.upAddresses());
        live.removeIf(controllers::hasLeft);
        live.add(ownAddress);
        return live;
    }
}
