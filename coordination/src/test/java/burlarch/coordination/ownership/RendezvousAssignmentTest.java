package burlarch.coordination.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.MemberInfo;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RendezvousAssignmentTest {
    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(prefix + i);
        }
        return names;
    }

    @Test
    void everyKeyHasOneOwnerIndependentOfMemberOrder() {
        List<String> keys = names("10.0.0.1:", 1_000);
        List<String> members = names("router-", 8);
        List<String> reversed = new ArrayList<>(members);
        java.util.Collections.reverse(reversed);
        RendezvousAssignment assignment = new RendezvousAssignment(members, keys);
        RendezvousAssignment assignmentOfReversed = new RendezvousAssignment(reversed, keys);
        Set<String> ownedKeys = new HashSet<>();
        for (String member : members) {
            assertThat(assignment.keysOf(member))
                    .isEqualTo(assignmentOfReversed.keysOf(member))
                    .hasSizeBetween(80, 170);
            ownedKeys.addAll(assignment.keysOf(member));
        }
        assertThat(ownedKeys).hasSize(1_000);
    }

    @Test
    void leavingMemberMovesOnlyItsOwnKeys() {
        List<String> keys = names("key", 500);
        List<String> members = names("router-", 6);
        RendezvousAssignment before = new RendezvousAssignment(members, keys);
        RendezvousAssignment after = new RendezvousAssignment(members.subList(1, 6), keys);
        for (String key : keys) {
            if (!before.ownerOf(key).orElseThrow().equals("router-0")) {
                assertThat(after.ownerOf(key)).isEqualTo(before.ownerOf(key));
            }
        }
    }

    @Test
    void onlyMembersOfTheRoleOwnKeys() {
        MemberInfo router = new MemberInfo("r", "1.1.1.1:1", "router", "z", 1);
        MemberInfo controller = new MemberInfo("c", "1.1.1.2:1", "controller", "z", 2);
        RendezvousAssignment assignment =
                RendezvousAssignment.ofRole("router", List.of(router, controller), List.of("a", "b", "c"));
        assertThat(assignment.keysOf("r")).containsExactly("a", "b", "c");
        assertThat(RendezvousAssignment.ofRole("none", List.of(router), List.of())
                        .ownerOf("a"))
                .isEmpty();
    }
}
