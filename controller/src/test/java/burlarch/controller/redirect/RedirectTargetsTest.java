package burlarch.controller.redirect;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.node.NodeRoles;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the choice of the controller to which a caller is redirected. */
class RedirectTargetsTest {
    private static final int CONTROL_PORT = 9100;

    private final RedirectTargets targets = new RedirectTargets(CONTROL_PORT);
    private final SplittableRandom random = new SplittableRandom(1);

    private static MemberInfo member(String role, int machine, long processId) {
        return new MemberInfo(
                "machine-" + machine + "/" + role, "10.0.0." + machine + ":7000", role, "hall", processId);
    }

    private void applyChange(MemberInfo member, MemberState after) {
        targets.onChanges(List.of(new MemberChange(member, Optional.empty(), after)));
    }

    private Set<String> choices() {
        Set<String> drawn = new HashSet<>();
        for (int draw = 0; draw < 200; draw++) {
            targets.choose(random).ifPresent(drawn::add);
        }
        return drawn;
    }

    @Test
    void withoutSeedsAndMembersNoTargetIsChosen() {
        assertThat(targets.choose(random)).isEmpty();
    }

    @Test
    void seedsAreChosenUntilMemberIsKnown() {
        targets.onSeeds(List.of("10.0.0.1:9100", "10.0.0.2:9100"));
        assertThat(choices()).containsExactlyInAnyOrder("10.0.0.1:9100", "10.0.0.2:9100");
        applyChange(member(NodeRoles.CONTROLLER, 5, 1), MemberState.ALIVE);
        assertThat(choices()).containsExactly("10.0.0.5:9100");
    }

    @Test
    void choicesAreSpreadOverAllAliveControllers() {
        for (int machine = 1; machine <= 3; machine++) {
            applyChange(member(NodeRoles.CONTROLLER, machine, machine), MemberState.ALIVE);
        }
        applyChange(member(NodeRoles.CONTROLLER, 3, 3), MemberState.SUSPECT);
        assertThat(choices()).containsExactlyInAnyOrder("10.0.0.1:9100", "10.0.0.2:9100");
    }

    @Test
    void suspectMembersArePreferredToSeeds() {
        targets.onSeeds(List.of("10.0.0.9:9100"));
        applyChange(member(NodeRoles.CONTROLLER, 1, 1), MemberState.ALIVE);
        applyChange(member(NodeRoles.CONTROLLER, 1, 1), MemberState.SUSPECT);
        assertThat(choices()).containsExactly("10.0.0.1:9100");
        applyChange(member(NodeRoles.CONTROLLER, 1, 1), MemberState.DEAD);
        assertThat(choices()).containsExactly("10.0.0.9:9100");
    }

    @Test
    void membersOfOtherRolesAreNotChosen() {
        applyChange(member(NodeRoles.ROUTER, 1, 1), MemberState.ALIVE);
        applyChange(member(NodeRoles.CONTROL_REDIRECTOR, 2, 2), MemberState.ALIVE);
        assertThat(targets.choose(random)).isEmpty();
    }

    /** The end of the previous process may be detected after the restarted one became known. */
    @Test
    void endOfPreviousProcessKeepsSuccessor() {
        applyChange(member(NodeRoles.CONTROLLER, 1, 1), MemberState.ALIVE);
        applyChange(member(NodeRoles.CONTROLLER, 1, 2), MemberState.ALIVE);
        applyChange(member(NodeRoles.CONTROLLER, 1, 1), MemberState.DEAD);
        assertThat(choices()).containsExactly("10.0.0.1:9100");
    }

    @Test
    void newSeedsReplaceFormerSeeds() {
        targets.onSeeds(List.of("10.0.0.1:9100"));
        targets.onSeeds(List.of("10.0.0.4:9100"));
        assertThat(choices()).containsExactly("10.0.0.4:9100");
    }

    @Test
    void numberOfKnownControllersIsBounded() {
        List<MemberChange> changes = new ArrayList<>();
        for (int machine = 1; machine <= 200; machine++) {
            changes.add(new MemberChange(
                    member(NodeRoles.CONTROLLER, machine, machine), Optional.empty(), MemberState.ALIVE));
        }
        targets.onChanges(changes);
        Set<String> drawn = new HashSet<>();
        for (int draw = 0; draw < 20_000; draw++) {
            targets.choose(random).ifPresent(drawn::add);
        }
        assertThat(drawn).hasSize(64);
    }
}
