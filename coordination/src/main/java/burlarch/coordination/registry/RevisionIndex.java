package burlarch.coordination.registry;

import java.util.Collection;
import java.util.TreeMap;

/**
 * An index of the entries of a registry by the revision of their last change. Each change takes the next revision; an
 * entry is listed under its newest one only.
 */
final class RevisionIndex {
    private final TreeMap<Long, RegistryEntry> byRevision = new TreeMap<>();
    private long revision;
    /** The highest revision of a forgotten entry; changes since a lower revision are not all known. */
    private long forgottenRevision;

    /** Assigns the next revision to an entry whose published view changed. */
    void onChanged(RegistryEntry entry) {
        byRevision.remove(entry.revision());
        revision++;
        entry.setRevision(revision);
        byRevision.put(revision, entry);
    }

    /** Removes a forgotten entry. */
    void forget(RegistryEntry entry) {
        byRevision.remove(entry.revision());
        forgottenRevision = Math.max(forgottenRevision, entry.revision());
    }

    /** Returns the revision of the last change, 0 before the first. */
    long revision() {
        return revision;
    }

    /** Returns whether every change after that revision is still known. */
    boolean knowsAllSince(long seenRevision) {
        return seenRevision > 0 && seenRevision >= forgottenRevision && seenRevision <= revision;
    }

    /** Returns the entries that changed after the revision. */
    Collection<RegistryEntry> changedSince(long seenRevision) {
        return byRevision.tailMap(seenRevision, false).values();
    }

    /** Returns all entries. */
    Collection<RegistryEntry> all() {
        return byRevision.values();
    }
}
