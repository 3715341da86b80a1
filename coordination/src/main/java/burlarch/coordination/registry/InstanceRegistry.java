package burlarch.coordination.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A controller's registry of instances, built from announcements that it received or that other controllers
 * forwarded.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li><em>Highest sequence wins</em>: an announcement counts only if its sequence is higher than the known one of
 *       its id. So announcements may be late, duplicated and reordered.
 *   <li><em>Final leave</em>: an instance that has left has the sequence {@link #LEFT_SEQUENCE}, the highest
 *       possible.
 *   <li><em>Agreed departure</em>: for {@link RegistrySettings#removedRetentionNanos} after this controller learned
 *       that the controllers agreed on the departure of an instance, no announcement makes the instance READY, even if
 *       this registry was empty then. What it accepted before it learned of the departure is removed.
 *   <li><em>Permanent drain</em>: an instance that announced that it drains is never READY again
 *       ({@link RegistryEntry}).
 *   <li><em>Return after a loss</em>: a lost instance keeps its last sequence, so its next announcement brings it
 *       back.
 *   <li><em>One instance per address</em>: a newer announcement of another id at an address removes the previous
 *       instance, unless only the new one drains: then it is the late announcement of an earlier process, as a process
 *       is READY before it drains.
 *   <li><em>Loss only in contact</em>: no instance is lost to missing heartbeats during a grace period, in which this
 *       controller may have missed them.
 * </ul>
 *
 * <p>Bounded by {@link RegistrySettings}. Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
public final class InstanceRegistry {
    /** The sequence of an instance that has left permanently. */
    public static final long LEFT_SEQUENCE = Long.MAX_VALUE;

    /** The outcome of an announcement. */
    public enum AnnouncementResult {
        /** The registry's view of the instance changed. */
        CHANGED,
        /** A heartbeat without new content; at most an unheard instance is heard again. */
        REFRESHED,
        /** Its sequence is not above the known one, or it may precede the instance's departure; it was ignored. */
        STALE,
        /** There is no room for another instance; it was ignored. */
        TABLE_FULL
    }

    /** A call of {@link #expire} that comes later than the expiry divided by this shows a pause of this process. */
    private static final int PAUSE_DIVISOR = 2;

    private final RegistrySettings settings;
    private final Map<String, RegistryEntry> entries = new HashMap<>();
    /** The entries that are not removed, by address. */
    private final Map<String, RegistryEntry> byAddress = new HashMap<>();

    private final RemovedEntries removed;
    private final KnownDepartures departures;
    private final RevisionIndex revisions = new RevisionIndex();
    private long graceFromNanos;
    private long checkedAtNanos;

    /** Creates an empty registry whose first grace period begins at {@code startNanos}. */
    public InstanceRegistry(RegistrySettings settings, long startNanos) {
        this.settings = settings;
        this.removed = new RemovedEntries(settings);
        this.departures = new KnownDepartures(settings.removedRetentionNanos());
        this.graceFromNanos = startNanos;
        this.checkedAtNanos = startNanos;
    }

    /** Applies an announcement of an instance. */
    public AnnouncementResult announce(Instance instance, long nowNanos) {
        RegistryEntry entry = entries.get(instance.id());
        if (entry != null && instance.sequence() <= entry.sequence()) {
            return AnnouncementResult.STALE;
        }
        if (mayPrecedeDeparture(entry, instance, nowNanos)) {
            return AnnouncementResult.STALE;
        }
        if (entry == null && instance.state() != InstanceState.GONE && isFull()) {
            return AnnouncementResult.TABLE_FULL;
        }
        return apply(entry, instance, nowNanos);
    }

    /** Whether an announcement of an instance that is not live here may have been sent before its agreed departure. */
    private boolean mayPrecedeDeparture(RegistryEntry entry, Instance instance, long nowNanos) {
        return instance.state() == InstanceState.READY
                && (entry == null || entry.isRemoved())
                && departures.mayPrecede(instance.id(), nowNanos);
    }

    /**
     * Removes an instance that announced that it leaves permanently.
     *
     * @return the final announcement, to be passed to {@link #merge} of other registries
     */
    public Instance leave(String id, long nowNanos) {
        RegistryEntry entry = entries.get(id);
        Instance last = entry == null
                ? new Instance(id, "", "", "", "", 0, InstanceState.GONE, 0, List.of(), LEFT_SEQUENCE)
                : entry.localView().withStateAndSequence(InstanceState.GONE, LEFT_SEQUENCE);
        if (entry == null || !entry.hasLeft()) {
            apply(entry, last, nowNanos);
        }
        return last;
    }

    /**
     * Replaces the departures that the controllers agreed on.
     *
     * @param numbers number of the departure, by the id of the instance; a later departure of an id has another number
     */
    public void onDepartures(Map<String, Long> numbers, long nowNanos) {
        for (String id : departures.update(numbers, nowNanos)) {
            RegistryEntry entry = entries.get(id);
            if (entry != null && isReady(entry)) {
                removeLost(entry, nowNanos);
            }
        }
    }

    /** Whether the controllers agreed that the instance drains or has left, and it has not returned since. */
    public boolean hasDeparted(String id) {
        return departures.numberOf(id).isPresent() && departureOfReturned(id).isEmpty();
    }

    /**
     * Returns the number of the departure from which an instance has returned, as long as the controllers agree on that
     * departure; empty for any other instance.
     */
    public OptionalLong departureOfReturned(String id) {
        RegistryEntry entry = entries.get(id);
        return entry != null && isReady(entry) ? departures.numberOf(id) : OptionalLong.empty();
    }

    private static boolean isReady(RegistryEntry entry) {
        return !entry.isRemoved() && !entry.isDraining();
    }

    /**
     * Applies instances that another registry knows or accepted, in any order. The loading state is not merged: only
     * the registry that was told of it keeps it.
     *
     * @return whether the published view changed
     */
    public boolean merge(Collection<Instance> instances, long nowNanos) {
        long before = revisions.revision();
        for (Instance instance : instances) {
            announce(instance, nowNanos);
        }
        return revisions.revision() != before;
    }

    /**
     * Records that an instance loads weights, until {@link #endLoading} or
     * {@link RegistrySettings#loadingTimeoutNanos}.
     */
    public void beginLoading(String id, long nowNanos) {
        RegistryEntry entry = entries.get(id);
        if (entry != null) {
            Instance before = entry.published();
            entry.beginLoading(nowNanos + settings.loadingTimeoutNanos());
            publishIfChanged(before, entry);
        }
    }

    /** Records that an instance no longer loads weights. */
    public void endLoading(String id) {
        RegistryEntry entry = entries.get(id);
        if (entry != null) {
            endLoading(entry);
        }
    }

    /**
     * Applies the passing of time: ends overdue loads, removes instances without heartbeats, and forgets instances
     * that were removed long ago. Call it several times within {@link RegistrySettings#expiryNanos}; a call that
     * comes much later shows that this process was paused and begins a grace period. During a grace period an
     * instance without heartbeats is published as UNHEARD.
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
     * Begins a grace period, in which no instance is lost. Call it when announcements may have been missed: when a
     * controller that forwarded them is disconnected, as its instances need time to switch to another one.
     */
    public void restartGrace(long nowNanos) {
        graceFromNanos = nowNanos;
    }

    /**
     * Returns the revision, which rises with each change of the published view but not with a mere heartbeat; 0 for
     * an empty registry.
     */
    public long revision() {
        return revisions.revision();
    }

    /**
     * Returns the changes after a revision of this registry, or a snapshot if those changes are no longer all known.
     */
    public InstanceChanges changesSince(long seenRevision) {
        if (!revisions.knowsAllSince(seenRevision)) {
            return snapshot();
        }
        return new InstanceChanges(revision(), false, publishedViews(revisions.changedSince(seenRevision)));
    }

    /** Returns a snapshot of the published view. */
    public InstanceChanges snapshot() {
        return new InstanceChanges(revision(), true, publishedViews(revisions.all()));
    }

    /**
     * Returns the announcements to pass to {@link #merge} of another registry: instances that were heard recently,
     * that drain or drained, and that left. Each registry detects missing heartbeats itself.
     */
    public List<Instance> selfReported() {
        List<Instance> reported = new ArrayList<>();
        for (RegistryEntry entry : revisions.all()) {
            entry.selfReported().ifPresent(reported::add);
        }
        return reported;
    }

    /** Returns the instance in the view of this registry, empty if it is not known. */
    public Optional<Instance> find(String id) {
        return Optional.ofNullable(entries.get(id)).map(RegistryEntry::localView);
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
        Instance localViewBefore = known.localView();
        Instance publishedBefore = known.published();
        byAddress.remove(known.address(), known);
        update(known, instance, nowNanos);
        publishIfChanged(publishedBefore, known);
        return localViewBefore.hasSameContent(known.localView())
                ? AnnouncementResult.REFRESHED
                : AnnouncementResult.CHANGED;
    }

    private void update(RegistryEntry entry, Instance instance, long nowNanos) {
        entry.onAnnouncement(instance, nowNanos);
        if (entry.isRemoved()) {
            remember(entry);
        } else {
            removed.remove(instance.id());
            claimAddress(entry, nowNanos);
        }
    }

    private void claimAddress(RegistryEntry entry, long nowNanos) {
        RegistryEntry previous = byAddress.get(entry.address());
        boolean hasOther = previous != null && previous != entry;
        if (hasOther && entry.isDraining() && !previous.isDraining()) {
            return;
        }
        byAddress.put(entry.address(), entry);
        if (hasOther) {
            removeLost(previous, nowNanos);
        }
    }

    private void removeLost(RegistryEntry entry, long nowNanos) {
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

    private void publishIfChanged(Instance publishedBefore, RegistryEntry entry) {
        if (!publishedBefore.hasSameContent(entry.published())) {
            revisions.onChanged(entry);
        }
    }

    private void endLoading(RegistryEntry entry) {
        Instance before = entry.published();
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
        for (RegistryEntry entry : findUnresponsive(nowNanos)) {
            if (!inGrace) {
                removeLost(entry, nowNanos);
            } else if (!entry.isUnheard()) {
                entry.onUnheard(nowNanos);
                revisions.onChanged(entry);
            }
        }
    }

    private List<RegistryEntry> findUnresponsive(long nowNanos) {
        List<RegistryEntry> unresponsive = new ArrayList<>();
        for (RegistryEntry entry : entries.values()) {
            if (entry.isUnresponsive(nowNanos, settings.expiryNanos())) {
                unresponsive.add(entry);
            }
        }
        return unresponsive;
    }

    private static List<Instance> publishedViews(Collection<RegistryEntry> changed) {
        List<Instance> publishedViews = new ArrayList<>(changed.size());
        for (RegistryEntry entry : changed) {
            publishedViews.add(entry.published());
        }
        return publishedViews;
    }
}
