package burlarch.coordination.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One controller's registry of instances, from announcements that came here or were forwarded by other controllers.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li><em>Highest sequence wins</em>: an announcement counts only if its sequence is higher than the known one of its
 *       id. So announcements may come late, repeated and in any order.
 *   <li><em>Final leave</em>: an instance that has left has the sequence {@link #LEFT_SEQUENCE}, which none is above.
 *   <li><em>Permanent drain</em>: an instance that said that it drains is never READY again ({@link RegistryEntry}).
 *   <li><em>Return after a loss</em>: one that was lost keeps its last sequence, so its next announcement brings it
 * back.
 *   <li><em>One instance an address</em>: a newer announcement of another id at an address removes the former instance.
 *   <li><em>Loss only in contact</em>: nobody is lost to missing heartbeats during a grace, as then this controller may
 *       have missed them.
 * </ul>
 *
 * <p>Bounded by {@link RegistrySettings}. Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class InstanceRegistry {
    /** The sequence of an instance that has left for good. */
    public static final long LEFT_SEQUENCE = Long.MAX_VALUE;

    /** What became of an announcement. */
    public enum AnnouncementResult {
        /** What is believed of the instance changed. */
        CHANGED,
        /** A heartbeat that changes nothing, except that an unheard instance is heard again. */
        REFRESHED,
        /** Its sequence isn't above the known one; it was ignored. */
        STALE,
        /** There is no room for another instance; it was ignored. */
        TABLE_FULL
    }

    /** A check that comes later than the expiry divided by this shows a pause of this process. */
    private static final int PAUSE_DIVISOR = 2;

    private final RegistrySettings settings;
    private final Map<String, RegistryEntry> entries = new HashMap<>();
    /** The entries that are not removed. */
    private final Map<String, RegistryEntry> byAddress = new HashMap<>();

    private final RemovedEntries removed;
    private final RevisionIndex revisions = new RevisionIndex();
    private long graceFromNanos;
    private long checkedAtNanos;

    /** An empty registry whose first grace begins at {@code startNanos}. */
    public InstanceRegistry(RegistrySettings settings, long startNanos) {
        this.settings = settings;
        this.removed = new RemovedEntries(settings);
        this.graceFromNanos = startNanos;
        this.checkedAtNanos = startNanos;
    }

    /** Applies what an instance says of itself. */
    public AnnouncementResult announce(Instance instance, long nowNanos) {
        RegistryEntry entry = entries.get(instance.id());
        if (entry != null && instance.sequence() <= entry.sequence()) {
            return AnnouncementResult.STALE;
        }
        if (entry == null && instance.state() != InstanceState.GONE && isFull()) {
            return AnnouncementResult.TABLE_FULL;
        }
        return apply(entry, instance, nowNanos);
    }

    /**
     * Removes an instance that says that it leaves for good.
     *
     * @return the final announcement, for the {@link #merge} of other registries
     */
    public Instance leave(String id, long nowNanos) {
        RegistryEntry entry = entries.get(id);
        Instance last = entry == null
                ? new Instance(id, "", "", "", "", 0, InstanceState.GONE, 0, List.of(), LEFT_SEQUENCE)
                : entry.believed().withStateAndSequence(InstanceState.GONE, LEFT_SEQUENCE);
        if (entry == null || !entry.hasLeft()) {
            apply(entry, last, nowNanos);
        }
        return last;
    }

    /**
     * Applies what another registry knows or accepted, in any order. Which instances load is not merged: that stays
     * with the registry that was told.
     *
     * @return whether others are to see a change
     */
    public boolean merge(Collection<Instance> instances, long nowNanos) {
        long before = revisions.revision();
        for (Instance instance : instances) {
            announce(instance, nowNanos);
        }
        return revisions.revision() != before;
    }

    /** Notes that an instance loads weights, until {@link #endLoading} or the time-out of the settings. */
    public void beginLoading(String id, long nowNanos) {
        RegistryEntry entry = entries.get(id);
        if (entry != null) {
            Instance before = entry.stated();
            entry.beginLoading(nowNanos + settings.loadingTimeoutNanos());
            publishIfChanged(before, entry);
        }
    }

    /** Notes that an instance loads no weights any more. */
    public void endLoading(String id) {
        RegistryEntry entry = entries.get(id);
        if (entry != null) {
            endLoading(entry);
        }
    }

    /**
     * Lets time pass: ends overdue loads, loses instances without heartbeats, forgets removed ones. To be called
     * several times within {@link RegistrySettings#expiryNanos}; a call that comes much later shows that this process
     * stood still and begins a grace. During a grace others are told of an instance without heartbeats that it is
     * unheard.
     */
    public void expire(long nowNanos) {
        if (nowNanos - checkedAtNanos > settings.expiryNanos() / PAUSE_DIVISOR) {
            restartGrace(nowNanos);
        }
        checkedAtNanos = nowNanos;
        endOverdueLoads(nowNanos);
        expireUnresponsive(nowNanos);
        removed.takeForgettable(nowNanos).forEach(this::forget);
    }

    /**
     * Begins a grace, in which nobody is lost. To be called when announcements may have been missed: when a controller
     * that forwarded them is disconnected, as its instances need time to turn to another.
     */
    public void restartGrace(long nowNanos) {
        graceFromNanos = nowNanos;
    }

    /** Rises with each change that others are to see, not with a mere heartbeat. 0 for an empty registry. */
    public long revision() {
        return revisions.revision();
    }

    /** What changed after a revision of this registry, or everything if that is no longer known. */
    public InstanceChanges changesSince(long seenRevision) {
        if (!revisions.knowsAllSince(seenRevision)) {
            return snapshot();
        }
        return new InstanceChanges(revision(), false, statements(revisions.changedSince(seenRevision)));
    }

    /** All that is known, as others are to see it. */
    public InstanceChanges snapshot() {
        return new InstanceChanges(revision(), true, statements(revisions.all()));
    }

    /**
     * What another registry is to know, for its {@link #merge}: what instances said of themselves, that is who was
     * heard lately, who drains or did, and who left. Missing heartbeats are for each registry to find out itself.
     */
    public List<Instance> selfReported() {
        List<Instance> reported = new ArrayList<>();
        for (RegistryEntry entry : revisions.all()) {
            entry.selfReported().ifPresent(reported::add);
        }
        return reported;
    }

    /** The instance as this registry believes it to be, empty if it isn't known. */
    public Optional<Instance> find(String id) {
        return Optional.ofNullable(entries.get(id)).map(RegistryEntry::believed);
    }

    private boolean isFull() {
        return entries.size() - removed.size() >= settings.maxInstances();
    }

    private AnnouncementResult apply(RegistryEntry known, Instance instance, long nowNanos) {
        if (known == null) {
            RegistryEntry entry = new RegistryEntry();
            entries.put(instance.id(), entry);
            update(entry, instance, nowNanos);
            revisions.onChanged(entry);
            return AnnouncementResult.CHANGED;
        }
        Instance believedBefore = known.believed();
        Instance statedBefore = known.stated();
        byAddress.remove(known.address(), known);
        update(known, instance, nowNanos);
        publishIfChanged(statedBefore, known);
        return believedBefore.hasSameContent(known.believed())
                ? AnnouncementResult.REFRESHED
                : AnnouncementResult.CHANGED;
    }

    private void update(RegistryEntry entry, Instance instance, long nowNanos) {
        entry.onAnnouncement(instance, nowNanos);
        if (entry.isRemoved()) {
            remember(entry);
        } else {
            removed.remove(instance.id());
            takeAddress(entry, nowNanos);
        }
    }

    private void takeAddress(RegistryEntry entry, long nowNanos) {
        RegistryEntry former = byAddress.put(entry.address(), entry);
        if (former != null && former != entry) {
            lose(former, nowNanos);
        }
    }

    private void lose(RegistryEntry entry, long nowNanos) {
        entry.onLost(nowNanos);
        byAddress.remove(entry.address(), entry);
        remember(entry);
        revisions.onChanged(entry);
    }

    private void remember(RegistryEntry entry) {
        removed.add(entry).ifPresent(this::forget);
    }

    private void forget(RegistryEntry entry) {
        entries.remove(entry.id());
        revisions.forget(entry);
    }

    private void publishIfChanged(Instance statedBefore, RegistryEntry entry) {
        if (!statedBefore.hasSameContent(entry.stated())) {
            revisions.onChanged(entry);
        }
    }

    private void endLoading(RegistryEntry entry) {
        Instance before = entry.stated();
        entry.endLoading();
        publishIfChanged(before, entry);
    }

    private void endOverdueLoads(long nowNanos) {
        for (RegistryEntry entry : entries.values()) {
            if (entry.isLoadingOverdue(nowNanos)) {
                endLoading(entry);
            }
        }
    }

    private void expireUnresponsive(long nowNanos) {
        boolean inGrace = nowNanos - graceFromNanos < settings.graceNanos();
        for (RegistryEntry entry : unresponsive(nowNanos)) {
            if (!inGrace) {
                lose(entry, nowNanos);
            } else if (!entry.isUnheard()) {
                entry.onUnheard(nowNanos);
                revisions.onChanged(entry);
            }
        }
    }

    private List<RegistryEntry> unresponsive(long nowNanos) {
        List<RegistryEntry> found = new ArrayList<>();
        for (RegistryEntry entry : entries.values()) {
            if (entry.isUnresponsive(nowNanos, settings.expiryNanos())) {
                found.add(entry);
            }
        }
        return found;
    }

    private static List<Instance> statements(Collection<RegistryEntry> changed) {
        List<Instance> statements = new ArrayList<>(changed.size());
        for (RegistryEntry entry : changed) {
            statements.add(entry.stated());
        }
        return statements;
    }
}
