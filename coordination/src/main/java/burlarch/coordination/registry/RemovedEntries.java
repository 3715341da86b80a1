package burlarch.coordination.registry;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The entries of removed instances, retained for a limited time, in order of removal. Bounded. */
final class RemovedEntries {
    private final RegistrySettings settings;
    private final Map<String, RegistryEntry> byId = new LinkedHashMap<>();

    RemovedEntries(RegistrySettings settings) {
        this.settings = settings;
    }

    /**
     * Adds an entry at the end; an entry that is present already moves there.
     *
     * @return the oldest entry if it had to be evicted
     */
    Optional<RegistryEntry> add(RegistryEntry entry) {
        byId.remove(entry.id());
        byId.put(entry.id(), entry);
        if (byId.size() <= settings.maxRemoved()) {
            return Optional.empty();
        }
        RegistryEntry oldest = byId.values().iterator().next();
        byId.remove(oldest.id());
        return Optional.of(oldest);
    }

    /** Removes the entry of an instance that is back. */
    void remove(String id) {
        byId.remove(id);
    }

    int size() {
        return byId.size();
    }

    /** Removes and returns the entries of instances that were removed longer ago than the retention time. */
    List<RegistryEntry> takeForgettable(long nowNanos) {
        List<RegistryEntry> forgettable = new ArrayList<>(0);
        Iterator<RegistryEntry> oldestFirst = byId.values().iterator();
        while (oldestFirst.hasNext()) {
            RegistryEntry entry = oldestFirst.next();
            if (!entry.isForgettable(nowNanos, settings.removedRetentionNanos())) {
                break;
            }
            oldestFirst.remove();
            forgettable.add(entry);
        }
        return forgettable;
    }
}
