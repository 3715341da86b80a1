package burlarch.routing.planner;

import burlarch.routing.PlannerSettings;
import burlarch.routing.RouterPosition;
import burlarch.routing.instance.Engine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Deterministic subsetting: assigns to each router of a zone a part of the zone's engines as its own subset. A router
 * knows at once what it sends to an engine itself, but learns only later what other routers send; so the load of an
 * engine that mostly one router uses is known to that router. Routers prefer their own subset, and move on to the next
 * ones around the ring, in the same direction, as its engines fill.
 *
 * <p>The ring is ordered by the hashes of the ids, equally at all routers. With fewer engines than routers, several
 * routers share one; with more, a subset has several. Invariant <em>even use</em>: each engine of a zone is the first
 * choice of the same number of routers, rounded up or down, as long as routers agree on which are live.
 */
final class EngineSubsets {
    private static final Comparator<Engine> RING_ORDER =
            (left, right) -> Long.compareUnsigned(left.idHash(), right.idHash());

    private final PlannerSettings settings;
    private final List<Engine> ring = new ArrayList<>();
    private RouterPosition position = RouterPosition.ALONE;

    EngineSubsets(PlannerSettings settings) {
        this.settings = settings;
    }

    void onPosition(RouterPosition newPosition) {
        position = newPosition;
    }

    /** Sets the {@link Engine#subsetDistance} of each engine of one service. */
    void assign(List<Engine> engines) {
        ring.clear();
        for (Engine engine : engines) {
            if (!isLocal(engine)) {
                engine.setSubsetDistance(position.count());
            } else if (engine.isReady()) {
                ring.add(engine);
            } else {
                engine.setSubsetDistance(0);
            }
        }
        ring.sort(RING_ORDER);
        int size = ring.size();
        double enginesPerRouter = (double) size / position.count();
        int first = (int) (position.index() * enginesPerRouter);
        for (int i = 0; i < size; i++) {
            int steps = Math.floorMod(i - first, size);
            ring.get(i).setSubsetDistance((int) (steps / Math.max(1, enginesPerRouter)));
        }
    }

    private boolean isLocal(Engine engine) {
        return settings.distance(settings.zone(), engine.instance().zone()) <= 1;
    }
}
