package burlarch.proxy;

import burlarch.wire.SimulatorAdapter;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongPredicate;

/**
 * Assigns numeric ids to the listed nodes. An id is the digest of the node's name, as all proxies have to rank
 * the nodes for a key identically. Where two digests collide, the later name gets the next free id.
 */
final class NodeIds {
    private final Map<String, Long> ids = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();

    /** The id of the node with this name; assigned on first use. */
    long of(String name) {
        return ids.computeIfAbsent(name, newName -> {
            long id = SimulatorAdapter.digest(newName);
            while (names.putIfAbsent(id, newName) != null) {
                id++;
            }
            return id;
        });
    }

    /** Forgets the ids that match, as replaced nodes never return under their old names and would accumulate. */
    void forget(LongPredicate gone) {
        names.keySet().removeIf(gone::test);
        ids.values().removeIf(gone::test);
    }

    int size() {
        return ids.size();
    }
}
