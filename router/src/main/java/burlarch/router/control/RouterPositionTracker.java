package burlarch.router.control;

import burlarch.coordination.membership.MemberInfo;
import burlarch.node.NodeRoles;
import burlarch.routing.RouterPosition;
import java.util.Collection;

/** Tracker of the position of this router among the live routers of its zone, by membership. Not thread-safe. */
public final class RouterPositionTracker {
    private final String name;
    private final String zone;
    private RouterPosition position = RouterPosition.ALONE;

    /**
     * Creates a tracker that knows no other router.
     *
     * @param name member name of this router
     * @param zone zone of this router
     */
    public RouterPositionTracker(String name, String zone) {
        this.name = name;
        this.zone = zone;
    }

    /**
     * Called with the live members except this one.
     *
     * @return whether the position has changed
     */
    public boolean onMembers(Collection<MemberInfo> members) {
        int routerCount = 1;
        int routersBefore = 0;
        for (MemberInfo member : members) {
            if (member.role().equals(NodeRoles.ROUTER) && member.zone().equals(zone)) {
                routerCount++;
                routersBefore += member.name().compareTo(name) < 0 ? 1 : 0;
            }
        }
        RouterPosition previousPosition = position;
        position = new RouterPosition(routersBefore, routerCount);
        return !position.equals(previousPosition);
    }

    public RouterPosition position() {
        return position;
    }
}
