package burlarch.coordination.registry;

import java.util.Collection;
import java.util.TreeMap;

/**
 * The entries of a registry in the order of their last changes. Each change takes the next revision; an entry is
 * listed under its newest one only.
 */
final class RevisionIndex {
    private final TreeMap<Long, RegistryEntry> byRevision = new TreeMap<>();
    private long revision;
    /** The highest revision of an entry that was forgotten: the changes since a lower one are not all known. */
    private long forgottenRevision;

    /** Others are to see a change of the entry. */
    void onChanged(RegistryEntry entry) {
        byRevision.remove(entry.revision());
        revision++;
        entry.setRevision(revision);
        byRevision.put(revision, entry);
    }

    /** The entry is forgotten. */
    void forget(RegistryEntry entry) {
        byRevision.remove(entry.revision());
        forgottenRevision = Math.max(forgottenRevision, entry.revision());
    }

    /** The revision of the last change, 0 before the first. */
    long revision() {
        return revision;
    }

    /** Whether every change after that revision is still known. */
    boolean knowsAllSince(long seenRevision) {
        return seenRevision > 0 && seenRevision >= forgottenRevision && seenRevision <= revision;
    }

    /** The entries that changed after the revision. */
    Collection<RegistryEntry> changedSince(long seenRevision) {
        return byRevision.tailMap(seenRevision, false).values();
    }

    /** All entries. */
    Collection<RegistryEntry> all() {
        return byRevision.values();
    }
}
