package burlarch.controller.peers;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.node.NodeRoles;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The membership states of the other controllers, indexed by address. Used on the controller's event loop; in memory
 * only.
 *
 * <p>A restarted process reuses the address of its predecessor, so each entry records its process. Invariant
 * <em>successor unaffected</em>: the end of a process never changes the entry of another process at the same address.
 */
public final class ControllerMembershipView {
    /** Limit of entries. When full, the oldest entry of an ended process is evicted, or else the oldest entry. */
    private static final int MAX_CONTROLLERS = 64;

    private record KnownProcess(long processId, MemberState state) {}

    /** Ordered by last update, least recent first. */
    private final Map<String, KnownProcess> byAddress = new LinkedHashMap<>();

    /** Applies membership changes of controllers and ignores those of other roles. */
    public void onChanges(List<MemberChange> changes) {
        for (MemberChange change : changes) {
            if (change.member().role().equals(NodeRoles.CONTROLLER)) {
                update(change.member(), change.after());
            }
        }
    }

    private void update(MemberInfo member, MemberState state) {
        long processId = member.processId();
        KnownProcess existing = byAddress.get(member.address());
        if (!state.isLive() && existing != null && existing.processId != processId) {
            return;
        }
        byAddress.remove(member.address());
        if (byAddress.size() == MAX_CONTROLLERS) {
            byAddress.remove(evictionCandidate());
        }
        byAddress.put(member.address(), new KnownProcess(processId, state));
    }

    private String evictionCandidate() {
        return byAddress.entrySet().stream()
                .filter(entry -> !entry.getValue().state.isLive())
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(byAddress.keySet().iterator().next());
    }

    /** The state of the process with that incarnation at the address; empty if no such process is known there. */
    public Optional<MemberState> stateOf(String address, String incarnation) {
        KnownProcess known = byAddress.get(address);
        boolean sameProcess =
                known != null && ProcessIncarnations.toText(known.processId).equals(incarnation);
        return sameProcess ? Optional.of(known.state) : Optional.empty();
    }

    /** Whether the newest known process at the address has announced its shutdown. */
    public boolean hasLeft(String address) {
        KnownProcess known = byAddress.get(address);
        return known != null && known.state == MemberState.LEFT;
    }
}
