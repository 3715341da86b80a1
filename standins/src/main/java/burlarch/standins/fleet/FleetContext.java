package burlarch.standins.fleet;

import burlarch.audit.Sink;
import java.util.Map;
import java.util.function.Consumer;

/**
 * State that all nodes of a fleet share.
 *
 * @param plan         the fleet's plan
 * @param classes      request classes by name
 * @param sink         receives the audit records
 * @param ledgerValues the ledger's values
 * @param misses       caches to fill when the ledger answers
 * @param onWrite      called with each key that a write has changed
 */
record FleetContext(
        FleetPlan plan,
        Map<String, FleetPlan.RequestClass> classes,
        Sink sink,
        LedgerValues ledgerValues,
        PendingMisses misses,
        Consumer<String> onWrite) {}
