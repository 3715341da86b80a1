package burlarch.controller.ownership;

import burlarch.controller.peers.ControllerMembershipView;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.peers.ProcessIncarnations;
import burlarch.coordination.membership.MemberState;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether the owner of a duty still lives. What left is gone, and what membership holds dead once this
 * process can't reach it either. That routers still vouch for an owner counts for nothing: cut off from the
 * other controllers it has no quorum and can't act. Lives on the loop.
 */
public final class LeaseHolderMonitor {
    /**
     * A controller that is out of reach for less may only be slow: its duties stay with it. One that was
     * restarted loses them this long after it is back, when those that start together have all met.
     */
    private static final long UNREACHABLE_GRACE_NANOS = 1_000_000_000;

    private final ControllerPeers peers;
    private final ControllerMembershipView membershipView;
    private final String ownAddress;

    public LeaseHolderMonitor(ControllerPeers peers, ControllerMembershipView controllers, String ownAddress) {
        this.peers = peers;
        this.membershipView = controllers;
        this.ownAddress = ownAddress;
    }

    /** Name of the process as the holder of a duty. */
    public static String holderName(String processName, String address) {
        return processName + "@" + address;
    }

    /** Whether the other process that is known by this holder's name lives. */
    public boolean isAlive(String holder, long now) {
        int at = holder.lastIndexOf('@');
        String address = holder.substring(at + 1);
        if (address.equals(ownAddress)) {
            return false;
        }
        String incarnation = ProcessIncarnations.ofProcessName(holder.substring(0, at));
        MemberState state = membershipView.stateOf(address, incarnation);
        if (state == MemberState.LEFT) {
            return false;
        }
        boolean lately = now - peers.connectivityChangedAtNanos(address) < UNREACHABLE_GRACE_NANOS;
        if (peers.isConnected(address)) {
            return lately || incarnation.equals(peers.incarnationAt(address));
        }
        return lately && state != MemberState.DEAD;
    }

    /** Whether all controllers that are known can be reached. */
    public boolean allControllersConnected() {
        return peers.allConnected();
    }

    /** Addresses of those that can take a duty, this process included. */
    public List<String> candidates() {
        List<String> live = new ArrayList<>(peers.connectedAddresses());
        live.removeIf(membershipView::hasLeft);
        live.add(ownAddress);
        return live;
    }
}
