package burlarch.controller.ownership;

import burlarch.controller.peers.ControllerMembershipView;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.peers.ProcessIncarnations;
import burlarch.coordination.membership.MemberState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Liveness check for lease holders; also lists the controllers that are eligible to hold a lease. Runs on the event
 * loop and has no state of its own.
 *
 * <p>A holder is not alive if it has announced its shutdown, or if membership reports it as dead and this process isn't
 * connected to it. Routers that still reach it don't matter: without the other controllers it has no quorum and can't
 * act.
 */
final class LeaseHolderMonitor {
    private static final char ADDRESS_SEPARATOR = '@';
    /**
     * A controller that is unreachable for a shorter time may only be slow and keeps its roles. A restarted controller
     * loses the roles of its previous process this long after it reconnects; by then, controllers that started together
     * have all connected.
     */
    private static final long UNREACHABLE_GRACE_NANOS = 1_000_000_000;

    private final ControllerPeers peers;
    private final ControllerMembershipView membershipView;
    private final String ownAddress;

    LeaseHolderMonitor(ControllerPeers peers, ControllerMembershipView membershipView, String ownAddress) {
        this.peers = peers;
        this.membershipView = membershipView;
        this.ownAddress = ownAddress;
    }

    /** The holder name of a process: unique for each start, and ending with the process's address. */
    static String holderName(String processName, String address) {
        return processName + ADDRESS_SEPARATOR + address;
    }

    /** Whether the holder is alive. The holder must not be this process. */
    boolean isAlive(String holder, long nowNanos) {
        int separator = holder.lastIndexOf(ADDRESS_SEPARATOR);
        String address = holder.substring(separator + 1);
        if (address.equals(ownAddress)) {
            return false;
        }
        String incarnation = ProcessIncarnations.ofProcessName(holder.substring(0, separator));
        Optional<MemberState> state = membershipView.stateOf(address, incarnation);
        if (state.equals(Optional.of(MemberState.LEFT))) {
            return false;
        }
        boolean recentlyChanged = nowNanos - peers.connectivityChangedAtNanos(address) < UNREACHABLE_GRACE_NANOS;
        if (peers.isConnected(address)) {
            return recentlyChanged || incarnation.equals(peers.incarnationAt(address));
        }
        return recentlyChanged && !state.equals(Optional.of(MemberState.DEAD));
    }

    /** Whether all known controllers are connected. */
    boolean allControllersConnected() {
        return peers.allConnected();
    }

    /** The addresses of the controllers that are eligible to hold a lease, including this one. */
    List<String> candidates() {
        List<String> candidates = new ArrayList<>(peers.connectedAddresses());
        candidates.removeIf(membershipView::hasLeft);
        candidates.add(ownAddress);
        return candidates;
    }
}
