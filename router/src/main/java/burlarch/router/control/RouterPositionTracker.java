package burlarch.router.control;

import burlarch.coordination.membership.MemberInfo;
import burlarch.node.NodeRoles;
import burlarch.routing.RouterPosition;
import java.util.Collection;

/** The place of this router among the live routers of its zone, by membership. Not thread-safe. */
public final class RouterPositionTracker {
    private final String name;
    private final String zone;
    private RouterPosition position = RouterPosition.ALONE;

    /** @param name of this router as a member */
    public RouterPositionTracker(String name, String zone) {
        this.name = name;
        this.zone = zone;
    }

    /**
     * The live members without this one.
     *
     * @return whether the position has changed
     */
    public boolean onMembers(Collection<MemberInfo> members) {
        int count = 1;
        int before = 0;
        for (MemberInfo member : members) {
            if (member.role().equals(NodeRoles.ROUTER) && member.zone().equals(zone)) {
                count++;
                before += member.name().compareTo(name) < 0 ? 1 : 0;
            }
        }
        RouterPosition former = position;
        position = new RouterPosition(before, count);
        return !position.equals(former);
    }

    public RouterPosition position() {
        return position;
    }
}
