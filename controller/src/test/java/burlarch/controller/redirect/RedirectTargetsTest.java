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

/** Which controller a caller is redirected to. */
class RedirectTargetsTest {
    private static final int CONTROL_PORT = 9100;

    private final RedirectTargets targets = new RedirectTargets(CONTROL_PORT);
    private final SplittableRandom random = new SplittableRandom(1);

    private static MemberInfo member(String role, int machine, long process) {
        return new MemberInfo("machine-" + machine + "/" + role, "10.0.0." + machine + ":7000", role, "hall", process);
    }

    private void change(MemberInfo member, MemberState after) {
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
    void nobodyIsKnownAtFirst() {
        assertThat(targets.choose(random)).isEmpty();
    }

    @Test
    void theSeedsServeUntilAMemberIsKnown() {
        targets.onSeeds(List.of("10.0.0.1:9100", "10.0.0.2:9100"));
        assertThat(choices()).containsExactlyInAnyOrder("10.0.0.1:9100", "10.0.0.2:9100");
        change(member(NodeRoles.CONTROLLER, 5, 1), MemberState.ALIVE);
        assertThat(choices()).containsExactly("10.0.0.5:9100");
    }

    @Test
    void callsAreSpreadOverAllControllersThatAreAlive() {
        for (int machine = 1; machine <= 3; machine++) {
            change(member(NodeRoles.CONTROLLER, machine, machine), MemberState.ALIVE);
        }
        change(member(NodeRoles.CONTROLLER, 3, 3), MemberState.SUSPECT);
        assertThat(choices()).containsExactlyInAnyOrder("10.0.0.1:9100", "10.0.0.2:9100");
    }

    @Test
    void suspectsAreBetterThanSeeds() {
        targets.onSeeds(List.of("10.0.0.9:9100"));
        change(member(NodeRoles.CONTROLLER, 1, 1), MemberState.ALIVE);
        change(member(NodeRoles.CONTROLLER, 1, 1), MemberState.SUSPECT);
        assertThat(choices()).containsExactly("10.0.0.1:9100");
        change(member(NodeRoles.CONTROLLER, 1, 1), MemberState.DEAD);
        assertThat(choices()).containsExactly("10.0.0.9:9100");
    }

    @Test
    void otherRolesAreNoTargets() {
        change(member(NodeRoles.ROUTER, 1, 1), MemberState.ALIVE);
        change(member(NodeRoles.CONTROL_REDIRECTOR, 2, 2), MemberState.ALIVE);
        assertThat(targets.choose(random)).isEmpty();
    }

    /** The end of the former process is noticed after the restarted one was already known. */
    @Test
    void theEndOfAFormerProcessLeavesItsSuccessor() {
        change(member(NodeRoles.CONTROLLER, 1, 1), MemberState.ALIVE);
        change(member(NodeRoles.CONTROLLER, 1, 2), MemberState.ALIVE);
        change(member(NodeRoles.CONTROLLER, 1, 1), MemberState.DEAD);
        assertThat(choices()).containsExactly("10.0.0.1:9100");
    }

    @Test
    void newSeedsReplaceTheFormerOnes() {
        targets.onSeeds(List.of("10.0.0.1:9100"));
        targets.onSeeds(List.of("10.0.0.4:9100"));
        assertThat(choices()).containsExactly("10.0.0.4:9100");
    }

    @Test
    void theNumberOfKnownControllersIsBounded() {
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
