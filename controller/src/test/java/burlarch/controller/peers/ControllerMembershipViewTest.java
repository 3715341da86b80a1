package burlarch.controller.peers;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.node.NodeRoles;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests that entries belong to processes, because a restarted process reuses its predecessor's address. */
class ControllerMembershipViewTest {
    private static final String ADDRESS = "10.0.0.1:9000";

    private final ControllerMembershipView view = new ControllerMembershipView();

    private void applyChange(String name, long processId, MemberState state) {
        MemberInfo member = new MemberInfo(name, ADDRESS, NodeRoles.CONTROLLER, "zone", processId);
        view.onChanges(List.of(new MemberChange(member, Optional.empty(), state)));
    }

    private MemberState stateOf(long processId) {
        return view.stateOf(ADDRESS, ProcessIncarnations.toText(processId)).orElse(null);
    }

    @Test
    void stateOfReturnsNewestStateOfKnownProcess() {
        assertThat(stateOf(1)).isNull();
        applyChange("core", 1, MemberState.ALIVE);
        applyChange("core", 1, MemberState.SUSPECT);
        assertThat(stateOf(1)).isEqualTo(MemberState.SUSPECT);
        assertThat(stateOf(2)).isNull();
        applyChange("core", 1, MemberState.DEAD);
        assertThat(stateOf(1)).isEqualTo(MemberState.DEAD);
        assertThat(view.hasLeft(ADDRESS)).as("a dead process may come back").isFalse();
        applyChange("core", 1, MemberState.LEFT);
        assertThat(view.hasLeft(ADDRESS)).isTrue();
    }

    @Test
    void endOfProcessKeepsEntryOfSuccessor() {
        applyChange("core", 1, MemberState.ALIVE);
        applyChange("other", 2, MemberState.ALIVE);
        applyChange("core", 1, MemberState.LEFT);
        assertThat(stateOf(2)).isEqualTo(MemberState.ALIVE);
        assertThat(view.hasLeft(ADDRESS)).isFalse();
    }

    /** A live process whose entry was not updated for long must not be evicted before ended processes. */
    @Test
    void fullTableEvictsEndedProcessesFirst() {
        applyChange("core", 1, MemberState.ALIVE);
        for (int number = 2; number < 200; number++) {
            MemberInfo member = new MemberInfo(
                    "core-" + number, "10.0.1." + number + ":9000", NodeRoles.CONTROLLER, "zone", number);
            view.onChanges(List.of(new MemberChange(member, Optional.empty(), MemberState.DEAD)));
        }
        assertThat(stateOf(1)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void changesOfRoutersAreIgnored() {
        MemberInfo router = new MemberInfo("edge", ADDRESS, NodeRoles.ROUTER, "zone", 3);
        view.onChanges(List.of(new MemberChange(router, Optional.of(MemberState.ALIVE), MemberState.LEFT)));
        assertThat(view.hasLeft(ADDRESS)).isFalse();
    }

    @Test
    void processNameContainsIncarnation() {
        String name = ProcessIncarnations.processName("core-hall-1", ProcessIncarnations.toText(-1));
        assertThat(ProcessIncarnations.ofProcessName(name)).isEqualTo(ProcessIncarnations.toText(-1));
    }
}
