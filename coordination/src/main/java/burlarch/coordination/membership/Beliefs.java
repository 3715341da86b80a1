package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.List;

/** What this member holds true of itself and of others, and the news that it passes on. */
final class Beliefs {
    /** About what one datagram holds. */
    private static final int CROWD = 16;

    private final SwimSettings settings;
    private final MemberRecord self;
    private final MemberTable table;
    private final GossipQueue gossip = new GossipQueue();
    private final LocalHealth health;
    private List<MemberChange> changes = new ArrayList<>();
    private long changedAt;
    private boolean objected;

    Beliefs(MemberInfo own, SwimSettings settings, LocalHealth health, long now) {
        this.settings = settings;
        this.health = health;
        self = new MemberRecord(new MemberClaim(own, 0, MemberState.ALIVE));
        table = new MemberTable(settings.maxMembers(), own.incarnationOfProcess());
        changedAt = now;
        spread(self);
    }

    /** Takes up news that came as gossip. */
    void learn(MemberClaim claim, long now) {
        if (isOwnName(claim)) {
            objectTo(claim);
        } else {
            take(claim, now, true);
        }
    }

    /**
     * Takes up a row of another's table. Such a table may be old or come from beyond a healed cut, so it
     * makes no one dead at once, and only what needs an answer goes on.
     */
    void learnFromTable(MemberClaim claim, long now) {
        if (isOwnName(claim)) {
            objectTo(claim);
            return;
        }
        MemberRecord known = table.get(claim.info().name());
        boolean deadToMeAlive = claim.state() == MemberState.DEAD
                && known != null
                && known.state().live();
        MemberClaim softened = deadToMeAlive ? claim.as(MemberState.SUSPECT) : claim;
        take(softened, now, softened.state() == MemberState.SUSPECT);
    }

    /** The row's present process did not answer. */
    void suspect(MemberRecord row, long now) {
        take(row.claim.as(MemberState.SUSPECT), now, true);
    }

    /** The row's present process did not object in time, or is known to be gone. */
    void bury(MemberRecord row, long now) {
        take(row.claim.as(MemberState.DEAD), now, true);
    }

    /** Holds those dead that did not object in time. */
    void buryOverdue(long now) {
        long suspicion = suspicion();
        for (MemberRecord late = table.overdue(suspicion, now); late != null; late = table.overdue(suspicion, now)) {
            bury(late, now);
        }
    }

    /** How long until the next one may be overdue, at most {@code atMost}. */
    long untilOverdue(long now, long atMost) {
        return table.untilOverdue(suspicion(), now, atMost);
    }

    /** Declares the own end. */
    void leave() {
        self.claim = self.claim.as(MemberState.LEFT);
    }

    /** Whether the member objected since the last call to something said of it. */
    boolean takeObjected() {
        boolean result = objected;
        objected = false;
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
    List<String> forgetOld(long now) {
        List<String> addresses = new ArrayList<>(0);
        MemberRecord forgotten = table.forgetOne(settings.forgetDead(), now);
        while (forgotten != null) {
            gossip.remove(forgotten);
            if (forgotten.state() == MemberState.DEAD) {
                addresses.add(forgotten.info().address());
            }
            forgotten = table.forgetOne(settings.forgetDead(), now);
        }
        return addresses;
    }

    /** Whether neither news nor changes have come up for a while, so that another's table should be alike. */
    boolean quiet(long now) {
        return gossip.isEmpty() && now - changedAt >= settings.syncPause();
    }

    /** Whether more changed at once than news can carry in good time, as at a start of all or after a cut. */
    boolean crowded() {
        return gossip.size() > CROWD;
    }

    SwimMessage.Header header() {
        return new SwimMessage.Header(self.info().incarnationOfProcess(), table.digest());
    }

    MemberClaim own() {
        return self.claim;
    }

    MemberTable table() {
        return table;
    }

    GossipQueue gossip() {
        return gossip;
    }

    private boolean isOwnName(MemberClaim claim) {
        return claim.info().name().equals(self.name());
    }

    private void objectTo(MemberClaim claim) {
        boolean sameProcess = claim.sameProcess(self.claim);
        if (claim.incarnation() < self.claim.incarnation()
                || self.state() == MemberState.LEFT
                || sameProcess && claim.state() == MemberState.ALIVE
                || claim.incarnation() >= MemberClaim.MAX_INCARNATION) {
            return;
        }
        self.claim = new MemberClaim(self.info(), claim.incarnation() + 1, MemberState.ALIVE);
        spread(self);
        objected = true;
        if (sameProcess) {
            health.worsen();
        }
    }

    private void take(MemberClaim claim, long now, boolean passOn) {
        int before = changes.size();
        MemberRecord changed = table.apply(claim, now, changes);
        if (changed == null) {
            return;
        }
        if (changes.size() > before) {
            changedAt = now;
        }
        if (passOn) {
            spread(changed);
        } else {
            gossip.remove(changed);
        }
    }

    private void spread(MemberRecord row) {
        gossip.add(row, settings.transmissions(table.liveCount() + 1));
    }

    /** How long a suspected member may object now: longer as more members become known. */
    private long suspicion() {
        return settings.suspicion(table.liveCount() + 1) * health.multiplier();
    }
}
