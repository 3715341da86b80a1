package burlarch.router.control;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.MemberInfo;
import burlarch.node.NodeRoles;
import burlarch.routing.RouterPosition;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The position of a router among the live routers of its zone. */
class RouterPositionTrackerTest {
    private final RouterPositionTracker tracker = new RouterPositionTracker("m", "zone-a");

    private static MemberInfo member(String name, String role, String zone) {
        return new MemberInfo(name, "10.0.0.1:9000", role, zone, 1);
    }

    @Test
    void routerWithoutOthersIsAlone() {
        assertThat(tracker.onMembers(List.of())).isFalse();
        assertThat(tracker.position()).isEqualTo(RouterPosition.ALONE);
    }

    @Test
    void positionFollowsTheOrderOfNames() {
        assertThat(tracker.onMembers(List.of(
                        member("a", NodeRoles.ROUTER, "zone-a"),
                        member("z", NodeRoles.ROUTER, "zone-a"),
                        member("c", NodeRoles.ROUTER, "zone-a"))))
                .isTrue();
        assertThat(tracker.position()).isEqualTo(new RouterPosition(2, 4));
    }

    @Test
    void controllersAndRoutersOfOtherZonesAreNotCounted() {
        tracker.onMembers(List.of(
                member("a", NodeRoles.CONTROLLER, "zone-a"),
                member("b", NodeRoles.ROUTER, "zone-b"),
                member("c", NodeRoles.ROUTER, "zone-a")));
        assertThat(tracker.position()).isEqualTo(new RouterPosition(1, 2));
    }

    @Test
    void unchangedMembersAreNoChange() {
        List<MemberInfo> members = List.of(member("a", NodeRoles.ROUTER, "zone-a"));
        assertThat(tracker.onMembers(members)).isTrue();
        assertThat(tracker.onMembers(members)).isFalse();
        assertThat(tracker.onMembers(List.of())).isTrue();
        assertThat(tracker.position()).isEqualTo(RouterPosition.ALONE);
    }
}
