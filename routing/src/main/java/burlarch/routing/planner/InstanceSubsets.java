package burlarch.routing.planner;

import burlarch.routing.PlannerSettings;
import burlarch.routing.RouterPosition;
import burlarch.routing.instance.TrackedInstance;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Deterministic subsetting: assigns to each router of a zone a part of the zone's instances of a service as its own
 * subset. A router knows at once what it sends to an instance itself, but learns only later what other routers send;
 * so the load of an instance that mostly one router uses is known to that router. Routers prefer their own subset, and
 * move on to the next ones around the ring, in the same direction, as its instances fill.
 *
 * <p>The ring is ordered by the hashes of the ids, equally at all routers. With fewer instances than routers, several
 * routers share one; with more, a subset has several. Invariant <em>even use</em>: each instance of a zone is the
 * first choice of the same number of routers, rounded up or down, as long as routers agree on which are live.
 */
final class InstanceSubsets {
    private static final Comparator<TrackedInstance> RING_ORDER =
            (left, right) -> Long.compareUnsigned(left.idHash(), right.idHash());

    private final PlannerSettings settings;
    private final List<TrackedInstance> ring = new ArrayList<>();
    private RouterPosition position = RouterPosition.ALONE;

    InstanceSubsets(PlannerSettings settings) {
        this.settings = settings;
    }

    void onPosition(RouterPosition newPosition) {
        position = newPosition;
    }

    /** Sets the {@link TrackedInstance#subsetDistance} of each instance of one service. */
    void assign(List<TrackedInstance> instances) {
        ring.clear();
        for (TrackedInstance instance : instances) {
            if (!isLocal(instance)) {
                instance.setSubsetDistance(position.count());
            } else if (instance.isReady()) {
                ring.add(instance);
            } else {
                instance.setSubsetDistance(0);
            }
        }
        ring.sort(RING_ORDER);
        int size = ring.size();
        double instancesPerRouter = (double) size / position.count();
        int first = (int) (position.index() * instancesPerRouter);
        for (int i = 0; i < size; i++) {
            int steps = Math.floorMod(i - first, size);
            ring.get(i).setSubsetDistance((int) (steps / Math.max(1, instancesPerRouter)));
        }
    }

    private boolean isLocal(TrackedInstance instance) {
        return settings.distance(settings.zone(), instance.announcement().zone()) <= 1;
    }
}
