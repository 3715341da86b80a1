package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** All other members that are known, and the only place where their state changes. */
final class MemberTable {
    private final int maxMembers;
    private final Map<String, MemberRecord> byName = new HashMap<>();
    private final Map<Long, MemberRecord> byProcess = new HashMap<>();
    private final List<MemberRecord> suspects = new ArrayList<>();
    private final List<MemberRecord> ended = new ArrayList<>();
    private long digest;
    private long rejected;

    MemberTable(int maxMembers, long ownProcess) {
        this.maxMembers = maxMembers;
        digest = mix(ownProcess);
    }

    /**
     * The one function for every change of state: takes the claim if it supersedes what is known.
     *
     * @return the row if it changed, else null
     */
    MemberRecord apply(MemberUpdate claim, long now, List<MemberChange> changes) {
        MemberRecord known = byName.get(claim.info().name());
        if (known == null) {
            return claim.state().isLive() ? add(claim, now, changes) : null;
        }
        if (!claim.overrides(known.update)) {
            return null;
        }
        MemberState before = known.state();
        if (!claim.isOfSameProcess(known.update)) {
            if (before.isLive()) {
                changes.add(new MemberChange(known.info(), before, MemberState.DEAD));
            }
            before = null;
        }
        removeFromIndexes(known);
        known.update = claim;
        addToIndexes(known, now);
        if (before != claim.state()) {
            changes.add(new MemberChange(claim.info(), before, claim.state()));
        }
        return known;
    }

    /** Gives every suspected member its whole time to object again. */
    void restartSuspicions(long now) {
        for (MemberRecord suspect : suspects) {
            suspect.suspectedAtNanos = now;
        }
    }

    /** A member that has been suspected for this long, or null. */
    MemberRecord findOverdueSuspect(long suspicion, long now) {
        for (MemberRecord suspect : suspects) {
            if (now - suspect.suspectedAtNanos >= suspicion) {
                return suspect;
            }
        }
        return null;
    }

    /** How long until {@link #findOverdueSuspect} may have one, at most {@code atMost}. */
    long nanosUntilOverdue(long suspicion, long now, long atMost) {
        long least = atMost;
        for (MemberRecord suspect : suspects) {
            least = Math.min(least, suspect.suspectedAtNanos + suspicion - now);
        }
        return least;
    }

    /** Removes and returns a row that ended longer ago than {@code age}, or null. */
    MemberRecord removeOneEnded(long age, long now) {
        Iterator<MemberRecord> rows = ended.iterator();
        while (rows.hasNext()) {
            MemberRecord row = rows.next();
            if (now - row.endedAtNanos >= age) {
                rows.remove();
                remove(row);
                return row;
            }
        }
        return null;
    }

    MemberRecord findByName(String name) {
        return byName.get(name);
    }

    MemberRecord findByProcess(long process) {
        return byProcess.get(process);
    }

    Collection<MemberRecord> records() {
        return byName.values();
    }

    /** Those that died or left and aren't forgotten. */
    List<MemberRecord> ended() {
        return ended;
    }

    /** Live members without the own process. */
    int liveCount() {
        return byName.size() - ended.size();
    }

    /** Sum over the live processes, the own one included: equal where the same ones are known. */
    long digest() {
        return digest;
    }

    /** Members that were not taken in for want of room. */
    long rejected() {
        return rejected;
    }

    private MemberRecord add(MemberUpdate claim, long now, List<MemberChange> changes) {
        if (byName.size() >= maxMembers) {
            if (ended.isEmpty()) {
                rejected++;
                return null;
            }
            remove(ended.remove(0));
        }
        MemberRecord added = new MemberRecord(claim);
        byName.put(claim.info().name(), added);
        addToIndexes(added, now);
        changes.add(new MemberChange(claim.info(), null, claim.state()));
        return added;
    }

    private void remove(MemberRecord row) {
        byName.remove(row.name());
        byProcess.remove(row.info().processId(), row);
    }

    private void removeFromIndexes(MemberRecord row) {
        byProcess.remove(row.info().processId(), row);
        if (row.state().isLive()) {
            digest -= mix(row.info().processId());
        }
        if (row.state() == MemberState.SUSPECT) {
            suspects.remove(row);
        } else if (!row.state().isLive()) {
            ended.remove(row);
        }
    }

    private void addToIndexes(MemberRecord row, long now) {
        byProcess.put(row.info().processId(), row);
        if (row.state().isLive()) {
            digest += mix(row.info().processId());
        }
        if (row.state() == MemberState.SUSPECT) {
            row.suspectedAtNanos = now;
            suspects.add(row);
        } else if (!row.state().isLive()) {
            row.endedAtNanos = now;
            ended.add(row);
        }
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
