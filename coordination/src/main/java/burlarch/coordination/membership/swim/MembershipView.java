package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.MemberUpdate;
import burlarch.coordination.membership.SwimMessage;
import java.util.ArrayList;
import java.util.List;

/**
 * The local view of the group: this member's own update, its table of the others, and the updates that are still to
 * be disseminated.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li><em>Own incarnation</em>: only {@link #refute} raises the own incarnation, above that of any update on the
 *       own name that contradicts this process; so the refutation overrides that update everywhere.
 *   <li><em>No refutation after leaving</em>: once {@link #leave} was called the own update stays LEFT.
 * </ul>
 */
final class MembershipView {
    /** Approximate number of updates that one datagram holds. */
    private static final int GOSSIP_BACKLOG_UPDATES = 16;

    private final SwimSettings settings;
    private final MemberRecord self;
    private final MemberTable table;
    private final GossipQueue gossip = new GossipQueue();
    private final LocalHealth health;
    private List<MemberChange> changes = new ArrayList<>();
    private long changedAtNanos;
    private boolean refuted;

    MembershipView(MemberInfo own, SwimSettings settings, LocalHealth health, long nowNanos) {
        this.settings = settings;
        this.health = health;
        self = new MemberRecord(new MemberUpdate(own, 0, MemberState.ALIVE));
        table = new MemberTable(settings.maxMembers(), own.processId());
        changedAtNanos = nowNanos;
        disseminate(self);
    }

    /** Applies an update received as gossip, and disseminates it if it changed the view. */
    void onGossip(MemberUpdate update, long nowNanos) {
        if (isOnOwnName(update)) {
            refute(update);
        } else {
            apply(update, nowNanos, Dissemination.DISSEMINATE);
        }
    }

    /**
     * Applies an entry of another member's table. Such a table may be out of date or come from the other side of a
     * healed partition. So a member that is live here becomes SUSPECT, not DEAD, and can refute; and only suspicions
     * are disseminated, as only they need a response.
     */
    void onSyncedEntry(MemberUpdate update, long nowNanos) {
        if (isOnOwnName(update)) {
            refute(update);
            return;
        }
        MemberRecord known = table.findByName(update.info().name());
        boolean deadThereLiveHere = update.state() == MemberState.DEAD
                && known != null
                && known.state().isLive();
        MemberUpdate downgraded = deadThereLiveHere ? update.withState(MemberState.SUSPECT) : update;
        boolean needsResponse = downgraded.state() == MemberState.SUSPECT;
        apply(downgraded, nowNanos, needsResponse ? Dissemination.DISSEMINATE : Dissemination.LOCAL_ONLY);
    }

    /** Marks a member as SUSPECT: its present process did not answer a probe. */
    void suspect(MemberRecord record, long nowNanos) {
        apply(record.update.withState(MemberState.SUSPECT), nowNanos, Dissemination.DISSEMINATE);
    }

    /** Marks a member as DEAD: its present process did not refute in time, or is known to have ended. */
    void declareDead(MemberRecord record, long nowNanos) {
        apply(record.update.withState(MemberState.DEAD), nowNanos, Dissemination.DISSEMINATE);
    }

    /** Marks the suspects as DEAD whose suspicion time-out is over. */
    void declareOverdueDead(long nowNanos) {
        long timeoutNanos = suspicionTimeoutNanos();
        MemberRecord overdue = table.findOverdueSuspect(timeoutNanos, nowNanos);
        while (overdue != null) {
            declareDead(overdue, nowNanos);
            overdue = table.findOverdueSuspect(timeoutNanos, nowNanos);
        }
    }

    /** Returns the nanoseconds until the next suspicion may be overdue, at most {@code atMostNanos}. */
    long nanosUntilOverdue(long nowNanos, long atMostNanos) {
        return table.nanosUntilOverdue(suspicionTimeoutNanos(), nowNanos, atMostNanos);
    }

    /** Changes the own update to LEFT. */
    void leave() {
        self.update = self.update.withState(MemberState.LEFT);
    }

    /** Returns whether this member has refuted an update since the last call. */
    boolean takeRefuted() {
        boolean result = refuted;
        refuted = false;
        return result;
    }

    /** Returns the changes of other members since the last call, in order. */
    List<MemberChange> takeChanges() {
        if (changes.isEmpty()) {
            return List.of();
        }
        List<MemberChange> taken = changes;
        changes = new ArrayList<>();
        return taken;
    }

    /** Restarts the suspicion time-out of every suspect. */
    void restartSuspicions(long nowNanos) {
        table.restartSuspicions(nowNanos);
    }

    /** Removes the members that ended longer ago than the retention time; returns the addresses of the dead ones. */
    List<String> forgetEnded(long nowNanos) {
        List<String> addresses = new ArrayList<>(0);
        MemberRecord forgotten = table.removeOneEnded(settings.deadRetentionNanos(), nowNanos);
        while (forgotten != null) {
            gossip.remove(forgotten);
            if (forgotten.state() == MemberState.DEAD) {
                addresses.add(forgotten.info().address());
            }
            forgotten = table.removeOneEnded(settings.deadRetentionNanos(), nowNanos);
        }
        return addresses;
    }

    /**
     * Returns whether no update is pending and the view has not changed for the minimum sync interval, so that
     * another member's table should be equal.
     */
    boolean isQuiet(long nowNanos) {
        return gossip.isEmpty() && nowNanos - changedAtNanos >= settings.minSyncIntervalNanos();
    }

    /**
     * Returns whether more updates are pending than gossip can send soon, as when all members start or a partition
     * heals.
     */
    boolean isGossipBacklogged() {
        return gossip.size() > GOSSIP_BACKLOG_UPDATES;
    }

    SwimMessage.Header header() {
        return new SwimMessage.Header(self.info().processId(), table.digest());
    }

    /** This member's own update. */
    MemberUpdate ownUpdate() {
        return self.update;
    }

    MemberTable table() {
        return table;
    }

    GossipQueue gossip() {
        return gossip;
    }

    private boolean isOnOwnName(MemberUpdate update) {
        return update.info().name().equals(self.name());
    }

    /**
     * Raises the own incarnation above that of the update, if it contradicts this process: it says that this process
     * is not ALIVE, or that another process of the name is alive. An update against this process itself is evidence
     * that this member answers too slowly.
     */
    private void refute(MemberUpdate update) {
        boolean aboutThisProcess = update.isOfSameProcess(self.update);
        boolean agrees = aboutThisProcess && update.state() == MemberState.ALIVE;
        boolean isOlder = update.incarnation() < self.update.incarnation();
        boolean atMaxIncarnation = update.incarnation() >= MemberUpdate.MAX_INCARNATION;
        if (agrees || isOlder || atMaxIncarnation || self.state() == MemberState.LEFT) {
            return;
        }
        self.update = new MemberUpdate(self.info(), update.incarnation() + 1, MemberState.ALIVE);
        disseminate(self);
        refuted = true;
        if (aboutThisProcess) {
            health.worsen();
        }
    }

    /** Whether an update that changed the view is disseminated as gossip. */
    private enum Dissemination {
        DISSEMINATE,
        LOCAL_ONLY
    }

    private void apply(MemberUpdate update, long nowNanos, Dissemination dissemination) {
        int before = changes.size();
        MemberRecord changed = table.apply(update, nowNanos, changes);
        if (changed == null) {
            return;
        }
        if (changes.size() > before) {
            changedAtNanos = nowNanos;
        }
        if (dissemination == Dissemination.DISSEMINATE) {
            disseminate(changed);
        } else {
            gossip.remove(changed);
        }
    }

    private void disseminate(MemberRecord record) {
        gossip.add(record, settings.transmitLimit(table.liveCount() + 1));
    }

    /**
     * Returns the suspicion time-out, which grows with the number of known members and while this member's own health
     * is poor.
     */
    private long suspicionTimeoutNanos() {
        return settings.suspicionTimeoutNanos(table.liveCount() + 1) * health.multiplier();
    }
}
