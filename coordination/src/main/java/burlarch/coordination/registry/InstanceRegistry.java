package burlarch.coordination.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The instances by what they announced. One rule orders all news of an id, wherever it comes from: the
 * highest sequence wins. An instance that has left has the sequence {@link #LEFT_SEQUENCE}, which nothing beats; one
 * that was not heard of for too long, or whose address another took, keeps its last sequence, so that it
 * comes back with its next announcement. Times are nanoseconds of one clock that doesn't jump. Not safe for
 * use by threads at the same time.
 */
public final class InstanceRegistry {
    /** The sequence of an instance that has left for good. */
    public static final long LEFT_SEQUENCE = Long.MAX_VALUE;

    /** What became of an announcement. */
    public enum AnnouncementResult {
        /** The instance isn't what it was believed to be. */
        CHANGED,
        /** A heartbeat that changes nothing, but that it may end that the instance counts as unheard. */
        REFRESHED,
        /** Older than what is known; nothing was done. */
        STALE,
        /** There is no room for another instance; nothing was done. */
        TABLE_FULL
    }

    private static final int PAUSE_DIVISOR = 2;

    private final RegistrySettings settings;
    private final Map<String, RegistryEntry> entries = new HashMap<>();
    private final Map<String, RegistryEntry> byAddress = new HashMap<>();
    private final Map<String, RegistryEntry> removed = new LinkedHashMap<>();
    private final TreeMap<Long, RegistryEntry> byRevision = new TreeMap<>();
    private long revision;
    private long forgottenRevision;
    private long graceFromNanos;
    private long checkedAtNanos;

    /** An empty registry that begins at {@code startNanos}. */
    public InstanceRegistry(RegistrySettings settings, long startNanos) {
        this.settings = settings;
        this.graceFromNanos = startNanos;
        this.checkedAtNanos = startNanos;
    }

    /** Takes what an instance says of itself. */
    public AnnouncementResult announce(Instance instance, long nowNanos) {
        RegistryEntry entry = entries.get(instance.id());
        if (entry != null && instance.sequence() <= entry.sequence()) {
            return AnnouncementResult.STALE;
        }
        if (entry == null
                && instance.state() != InstanceState.GONE
                && entries.size() - removed.size() >= settings.maxInstances()) {
            return AnnouncementResult.TABLE_FULL;
        }
        return take(entry, instance, nowNanos) ? AnnouncementResult.CHANGED : AnnouncementResult.REFRESHED;
    }

    /**
     * Takes that an instance has left for good.
     *
     * @return what to tell others, for their {@link #merge}
     */
    public Instance leave(String id, long nowNanos) {
        RegistryEntry entry = entries.get(id);
        Instance last = entry == null
                ? new Instance(id, "", "", "", "", 0, InstanceState.GONE, 0, List.of(), LEFT_SEQUENCE)
                : withStateAndSequence(entry.view(), InstanceState.GONE, LEFT_SEQUENCE);
        if (entry == null || !entry.hasLeft()) {
            take(entry, last, nowNanos);
        }
        return last;
    }

    /**
     * Takes what another registry holds or took, in any order. A mark of loading stays with the registry that
     * made it.
     *
     * @return whether others are to see a change
     */
    public boolean merge(Collection<Instance> instances, long nowNanos) {
        long before = revision;
        for (Instance instance : instances) {
            announce(instance, nowNanos);
        }
        return revision != before;
    }

    private boolean take(RegistryEntry known, Instance instance, long nowNanos) {
        RegistryEntry entry = known == null ? new RegistryEntry() : known;
        Instance believed = known == null ? null : known.view();
        Instance stated = known == null ? null : known.statement();
        if (known == null) {
            entries.put(instance.id(), entry);
        } else {
            byAddress.remove(known.address(), known);
        }
        entry.take(instance, nowNanos);
        if (entry.isRemoved()) {
            remember(entry);
        } else {
            removed.remove(instance.id());
            claimAddress(entry, nowNanos);
        }
        if (stated == null || !RegistryEntry.hasSameContent(stated, entry.statement())) {
            changed(entry);
        }
        return believed == null || !RegistryEntry.hasSameContent(believed, entry.view());
    }

    private void claimAddress(RegistryEntry entry, long nowNanos) {
        RegistryEntry former = byAddress.put(entry.address(), entry);
        if (former != null && former != entry) {
            lose(former, nowNanos);
        }
    }

    private void lose(RegistryEntry entry, long nowNanos) {
        entry.lose(nowNanos);
        byAddress.remove(entry.address(), entry);
        remember(entry);
        changed(entry);
    }

    private void remember(RegistryEntry entry) {
        removed.remove(entry.id());
        removed.put(entry.id(), entry);
        if (removed.size() > settings.maxRemoved()) {
            RegistryEntry oldest = removed.values().iterator().next();
            removed.remove(oldest.id());
            forget(oldest);
        }
    }

    private void forget(RegistryEntry entry) {
        entries.remove(entry.id());
        byRevision.remove(entry.revision());
        forgottenRevision = Math.max(forgottenRevision, entry.revision());
    }

    private void changed(RegistryEntry entry) {
        byRevision.remove(entry.revision());
        revision++;
        entry.changedAt(revision);
        byRevision.put(revision, entry);
    }

    /** Marks that an instance loads weights, or that it is done. The mark ends by itself after a time. */
    public void setLoading(String id, boolean loading, long nowNanos) {
        RegistryEntry entry = entries.get(id);
        if (entry != null) {
            load(entry, loading, nowNanos + settings.loadingTimeoutNanos());
        }
    }

    private void load(RegistryEntry entry, boolean loading, long untilNanos) {
        Instance before = entry.statement();
        entry.load(loading, untilNanos);
        if (!RegistryEntry.hasSameContent(before, entry.statement())) {
            changed(entry);
        }
    }

    /**
     * Lets time pass; to be called several times within {@link RegistrySettings#expiryNanos}. A call that
     * comes much later shows that this process stood still and can't tell who was silent. One that was silent
     * in a grace isn't lost, but others are told that nothing is known of it here.
     */
    public void expire(long nowNanos) {
        if (nowNanos - checkedAtNanos > settings.expiryNanos() / PAUSE_DIVISOR) {
            restartGrace(nowNanos);
        }
        checkedAtNanos = nowNanos;
        boolean judges = nowNanos - graceFromNanos >= settings.graceNanos();
        for (RegistryEntry entry : entries.values()) {
            if (entry.hasLoadedTooLong(nowNanos)) {
                load(entry, false, nowNanos);
            }
        }
        for (RegistryEntry silent : unresponsive(nowNanos)) {
            if (judges) {
                lose(silent, nowNanos);
            } else if (!silent.isUnheard()) {
                silent.markUnheard();
                changed(silent);
            }
        }
        forgetOld(nowNanos);
    }

    private List<RegistryEntry> unresponsive(long nowNanos) {
        List<RegistryEntry> silent = new ArrayList<>();
        for (RegistryEntry entry : entries.values()) {
            if (entry.isUnresponsive(nowNanos, settings.expiryNanos())) {
                silent.add(entry);
            }
        }
        return silent;
    }

    private void forgetOld(long nowNanos) {
        Iterator<RegistryEntry> oldestFirst = removed.values().iterator();
        while (oldestFirst.hasNext()) {
            RegistryEntry entry = oldestFirst.next();
            if (!entry.isForgettable(nowNanos, settings.removedRetentionNanos())) {
                return;
            }
            oldestFirst.remove();
            forget(entry);
        }
    }

    /**
     * Lets nobody expire for a while. To be called when news may have been missed: when a controller that
     * passed announcements on is out of touch, as its instances need time to turn to another.
     */
    public void restartGrace(long nowNanos) {
        graceFromNanos = nowNanos;
    }

    /** Rises with each change that others are to see, not with a mere heartbeat. 0 for an empty registry. */
    public long revision() {
        return revision;
    }

    /** What changed after a revision of this registry, or all where that is no longer known. */
    public InstanceChanges changesSince(long seenRevision) {
        if (seenRevision <= 0 || seenRevision < forgottenRevision || seenRevision > revision) {
            return snapshot();
        }
        return new InstanceChanges(
                revision, false, views(byRevision.tailMap(seenRevision, false).values()));
    }

    /** All that is known, as others are to see it. */
    public InstanceChanges snapshot() {
        return new InstanceChanges(revision, true, views(byRevision.values()));
    }

    /**
     * What another registry is to know, for its {@link #merge}: who was heard lately, who drains or did, and
     * who left. Who was silent is for each registry to find out itself.
     */
    public List<Instance> selfReported() {
        List<Instance> known = new ArrayList<>();
        for (RegistryEntry entry : byRevision.values()) {
            entry.selfReported().ifPresent(known::add);
        }
        return known;
    }

    /** The instance as it is believed to be here, or null where it isn't known. */
    public Instance find(String id) {
        RegistryEntry entry = entries.get(id);
        return entry == null ? null : entry.view();
    }

    private static List<Instance> views(Collection<RegistryEntry> changed) {
        List<Instance> views = new ArrayList<>(changed.size());
        for (RegistryEntry entry : changed) {
            views.add(entry.statement());
        }
        return views;
    }

    private static Instance withStateAndSequence(Instance last, InstanceState state, long sequence) {
        return new Instance(
                last.id(),
                last.service(),
                last.address(),
                last.zone(),
                last.softwareVersion(),
                last.capacity(),
                state,
                last.warmupLeftMillis(),
                last.models(),
                sequence);
    }
}
