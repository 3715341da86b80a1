package burlarch.fleet.controller;

import burlarch.coordination.membership.MemberState;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether the owner of a duty still lives: by what membership believes of it, and by the connection of this process.
 * Lives on the loop.
 */
final class OwnerWatch {
    /** A controller that is out of reach for less may only be slow: its duties stay with it. */
    private static final long LOST_NANOS = 1_000_000_000;
    /** One that others still reach, maybe routers only, keeps its duties for longer; without a quorum it is idle. */
    private static final long UNREACHED_NANOS = 3_000_000_000L;

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
        if (state != null && !state.live()) {
            return false;
        }
        if (peers.isUp(address)) {
            return incarnation.equals(peers.incarnation(address));
        }
        long limit = state == MemberState.ALIVE ? UNREACHED_NANOS : LOST_NANOS;
        return now - peers.sinceNanos(address) < limit;
    }

    /** Addresses of those that can take a duty, this process included. */
    List<String> candidates() {
        List<String> live = new ArrayList<>(peers.upAddresses());
        live.removeIf(controllers::hasEnded);
        live.add(ownAddress);
        return live;
    }
}
