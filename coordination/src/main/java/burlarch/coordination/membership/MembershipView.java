package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.List;

/** What this member holds true of itself and of others, and the news that it passes on. */
final class MembershipView {
    /** About what one datagram holds. */
    private static final int GOSSIP_BACKLOG = 16;

    private final SwimSettings settings;
    private final MemberRecord self;
    private final MemberTable table;
    private final GossipQueue gossip = new GossipQueue();
    private final LocalHealth health;
    private List<MemberChange> changes = new ArrayList<>();
    private long changedAtNanos;
    private boolean refuted;

    MembershipView(MemberInfo own, SwimSettings settings, LocalHealth health, long now) {
        this.settings = settings;
        this.health = health;
        self = new MemberRecord(new MemberUpdate(own, 0, MemberState.ALIVE));
        table = new MemberTable(settings.maxMembers(), own.processId());
        changedAtNanos = now;
        disseminate(self);
    }

    /** Takes up news that came as gossip. */
    void onGossip(MemberUpdate claim, long now) {
        if (isOwnName(claim)) {
            refute(claim);
        } else {
            apply(claim, now, true);
        }
    }

    /**
     * Takes up a row of another's table. Such a table may be old or come from beyond a healed cut, so it
     * makes no one dead at once, and only what needs an answer goes on.
     */
    void onSyncedEntry(MemberUpdate claim, long now) {
        if (isOwnName(claim)) {
            refute(claim);
            return;
        }
        MemberRecord known = table.findByName(claim.info().name());
        boolean deadToMeAlive = claim.state() == MemberState.DEAD
                && known != null
                && known.state().isLive();
        MemberUpdate softened = deadToMeAlive ? claim.withState(MemberState.SUSPECT) : claim;
        apply(softened, now, softened.state() == MemberState.SUSPECT);
    }

    /** The row's present process did not answer. */
    void suspect(MemberRecord row, long now) {
        apply(row.update.withState(MemberState.SUSPECT), now, true);
    }

    /** The row's present process did not object in time, or is known to be gone. */
    void declareDead(MemberRecord row, long now) {
        apply(row.update.withState(MemberState.DEAD), now, true);
    }

    /** Holds those dead that did not object in time. */
    void declareOverdueDead(long now) {
        long suspicion = suspicionTimeoutNanos();
        for (MemberRecord late = table.findOverdueSuspect(suspicion, now);
                late != null;
                late = table.findOverdueSuspect(suspicion, now)) {
            declareDead(late, now);
        }
    }

    /** How long until the next one may be overdue, at most {@code atMost}. */
    long nanosUntilOverdue(long now, long atMost) {
        return table.nanosUntilOverdue(suspicionTimeoutNanos(), now, atMost);
    }

    /** Declares the own end. */
    void leave() {
        self.update = self.update.withState(MemberState.LEFT);
    }

    /** Whether the member objected since the last call to something said of it. */
    boolean takeRefuted() {
        boolean result = refuted;
        refuted = false;
        return result;
    }

    List<MemberChange> takeChanges() {
        List<MemberChange> taken = changes;
        changes = taken.isEmpty() ? taken : new ArrayList<>();
        return taken.isEmpty() ? List.of() : taken;
    }

    void restartSuspicions(long now) {
        table.restartSuspicions(now);
    }

    /** Drops the rows that ended long ago; returns where their processes were. */
    List<String> forgetEnded(long now) {
        List<String> addresses = new ArrayList<>(0);
        MemberRecord forgotten = table.removeOneEnded(settings.deadRetentionNanos(), now);
        while (forgotten != null) {
            gossip.remove(forgotten);
            if (forgotten.state() == MemberState.DEAD) {
                addresses.add(forgotten.info().address());
            }
            forgotten = table.removeOneEnded(settings.deadRetentionNanos(), now);
        }
        return addresses;
    }

    /** Whether neither news nor changes have come up for a while, so that another's table should be alike. */
    boolean isQuiet(long now) {
        return gossip.isEmpty() && now - changedAtNanos >= settings.minSyncIntervalNanos();
    }

    /** Whether more changed at once than news can carry in good time, as at a start of all or after a cut. */
    boolean isGossipBacklogged() {
        return gossip.size() > GOSSIP_BACKLOG;
    }

    SwimMessage.Header header() {
        return new SwimMessage.Header(self.info().processId(), table.digest());
    }

    MemberUpdate ownUpdate() {
        return self.update;
    }

    MemberTable table() {
        return table;
    }

    GossipQueue gossip() {
        return gossip;
    }

    private boolean isOwnName(MemberUpdate claim) {
        return claim.info().name().equals(self.name());
    }

    private void refute(MemberUpdate claim) {
        boolean sameProcess = claim.isOfSameProcess(self.update);
        if (claim.incarnation() < self.update.incarnation()
                || self.state() == MemberState.LEFT
                || sameProcess && claim.state() == MemberState.ALIVE
                || claim.incarnation() >= MemberUpdate.MAX_INCARNATION) {
            return;
        }
        self.update = new MemberUpdate(self.info(), claim.incarnation() + 1, MemberState.ALIVE);
        disseminate(self);
        refuted = true;
        if (sameProcess) {
            health.worsen();
        }
    }

    private void apply(MemberUpdate claim, long now, boolean passOn) {
        int before = changes.size();
        MemberRecord changed = table.apply(claim, now, changes);
        if (changed == null) {
            return;
        }
        if (changes.size() > before) {
            changedAtNanos = now;
        }
        if (passOn) {
            disseminate(changed);
        } else {
            gossip.remove(changed);
        }
    }

    private void disseminate(MemberRecord row) {
        gossip.add(row, settings.transmitLimit(table.liveCount() + 1));
    }

    /** How long a suspected member may object now: longer as more members become known. */
    private long suspicionTimeoutNanos() {
        return settings.suspicionTimeoutNanos(table.liveCount() + 1) * health.multiplier();
    }
}
