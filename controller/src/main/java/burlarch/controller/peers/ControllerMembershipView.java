package burlarch.controller.peers;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.node.NodeRoles;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What membership believes of the other controllers, by their addresses. Lives on the loop. */
public final class ControllerMembershipView {
    /** One that is gone gives way to a further one, else the one whose news is oldest. */
    private static final int MAX_CONTROLLERS = 64;

    private record KnownProcess(long processId, MemberState state) {}

    private final Map<String, KnownProcess> byAddress = new LinkedHashMap<>();

    public void onChanges(List<MemberChange> changes) {
        for (MemberChange change : changes) {
            if (change.member().role().equals(NodeRoles.CONTROLLER)) {
                update(change.member(), change.after());
            }
        }
    }

    /** The end of a process says nothing of the one that has its address now. */
    private void update(MemberInfo member, MemberState state) {
        long process = member.processId();
        KnownProcess before = byAddress.get(member.address());
        if (!state.isLive() && before != null && before.processId != process) {
            return;
        }
        byAddress.remove(member.address());
        if (byAddress.size() == MAX_CONTROLLERS) {
            byAddress.remove(evictionCandidate());
        }
        byAddress.put(member.address(), new KnownProcess(process, state));
    }

    private String evictionCandidate() {
        return byAddress.entrySet().stream()
                .filter(entry -> !entry.getValue().state.isLive())
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(byAddress.keySet().iterator().next());
    }

    /**
     * What is believed of the process at the address, or null where nothing or another one is known there.
     */
    public MemberState stateOf(String address, String incarnation) {
        KnownProcess belief = byAddress.get(address);
        return belief != null && ProcessIncarnations.toText(belief.processId).equals(incarnation) ? belief.state : null;
    }

    /** Whether the last process that was heard of at the address said that it goes. */
    public boolean hasLeft(String address) {
        KnownProcess belief = byAddress.get(address);
        return belief != null && belief.state == MemberState.LEFT;
    }
}
