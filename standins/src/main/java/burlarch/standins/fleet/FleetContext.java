package burlarch.standins.fleet;

import burlarch.audit.Sink;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What all nodes of a fleet share.
 *
 * @param classes by name
 * @param written is told of each key that a write has changed
 */
record FleetContext(
        FleetPlan plan,
        Map<String, FleetPlan.RequestKind> classes,
        Sink sink,
        Values values,
        PendingMisses misses,
        Consumer<String> written) {}
