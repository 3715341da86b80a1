package burlarch.controller;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.node.Roles;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What membership believes of the other controllers, by their addresses. Lives on the loop. */
final class KnownControllers {
    /** One that is gone gives way to a further one, else the one whose news is oldest. */
    private static final int MOST = 64;

    private record Belief(long process, MemberState state) {}

    private final Map<String, Belief> byAddress = new LinkedHashMap<>();

    void onChanges(List<MemberChange> changes) {
        for (MemberChange change : changes) {
            if (change.member().role().equals(Roles.CONTROLLER)) {
                take(change.member(), change.after());
            }
        }
    }

    /** The end of a process says nothing of the one that has its address now. */
    private void take(MemberInfo member, MemberState state) {
        long process = member.processId();
        Belief before = byAddress.get(member.address());
        if (!state.isLive() && before != null && before.process != process) {
            return;
        }
        byAddress.remove(member.address());
        if (byAddress.size() == MOST) {
            byAddress.remove(leastNeeded());
        }
        byAddress.put(member.address(), new Belief(process, state));
    }

    private String leastNeeded() {
        return byAddress.entrySet().stream()
                .filter(entry -> !entry.getValue().state.isLive())
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(byAddress.keySet().iterator().next());
    }

    /**
     * What is believed of the process at the address, or null where nothing or another one is known there.
     */
    MemberState stateOf(String address, String incarnation) {
        Belief belief = byAddress.get(address);
        return belief != null && Incarnations.text(belief.process).equals(incarnation) ? belief.state : null;
    }

    /** Whether the last process that was heard of at the address said that it goes. */
    boolean hasLeft(String address) {
        Belief belief = byAddress.get(address);
        return belief != null && belief.state == MemberState.LEFT;
    }
}
