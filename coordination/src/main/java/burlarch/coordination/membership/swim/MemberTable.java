package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.MemberUpdate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The table of all other known members. Only {@link #apply} changes a member's state; the transitions are in the
 * table of {@link MemberState}.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li><em>Table bound</em>: at most {@code maxMembers} entries. A new member replaces one that has ended; if none
 *       has ended, the new one is rejected and counted.
 *   <li><em>Index consistency</em>: the indexes by process id, of suspects and of ended members hold exactly the
 *       entries whose update has that process id or state.
 *   <li><em>Digest</em>: {@link #digest} depends only on the set of live process ids, the own one included, so it is
 *       equal at two members that know the same live processes.
 * </ul>
 */
final class MemberTable {
    private final int maxMembers;
    private final Map<String, MemberRecord> byName = new HashMap<>();
    private final Map<Long, MemberRecord> byProcess = new HashMap<>();
    private final List<MemberRecord> suspects = new ArrayList<>();
    private final List<MemberRecord> ended = new ArrayList<>();
    private long digest;
    private long rejected;

    MemberTable(int maxMembers, long ownProcessId) {
        this.maxMembers = maxMembers;
        digest = mix(ownProcessId);
    }

    /**
     * Applies the update if it overrides what is known.
     *
     * @param changes receives the resulting changes of state
     * @return the entry if it changed, otherwise null
     */
    MemberRecord apply(MemberUpdate update, long nowNanos, List<MemberChange> changes) {
        MemberRecord known = byName.get(update.info().name());
        if (known == null) {
            return update.state().isLive() ? add(update, nowNanos, changes) : null;
        }
        if (!update.overrides(known.update)) {
            return null;
        }
        Optional<MemberState> before = Optional.of(known.state());
        if (!update.isOfSameProcess(known.update)) {
            if (known.state().isLive()) {
                changes.add(new MemberChange(known.info(), before, MemberState.DEAD));
            }
            before = Optional.empty();
        }
        removeFromIndexes(known);
        known.update = update;
        addToIndexes(known, nowNanos);
        if (before.isEmpty() || before.get() != update.state()) {
            changes.add(new MemberChange(update.info(), before, update.state()));
        }
        return known;
    }

    /** Restarts the suspicion time-out of every suspect. */
    void restartSuspicions(long nowNanos) {
        for (MemberRecord suspect : suspects) {
            suspect.suspectedAtNanos = nowNanos;
        }
    }

    /** Returns a member that has been suspected for at least the time-out, or null if there is none. */
    MemberRecord findOverdueSuspect(long timeoutNanos, long nowNanos) {
        for (MemberRecord suspect : suspects) {
            if (nowNanos - suspect.suspectedAtNanos >= timeoutNanos) {
                return suspect;
            }
        }
        return null;
    }

    /** Returns the nanoseconds until {@link #findOverdueSuspect} may find one, at most {@code atMostNanos}. */
    long nanosUntilOverdue(long timeoutNanos, long nowNanos, long atMostNanos) {
        long untilOverdueNanos = atMostNanos;
        for (MemberRecord suspect : suspects) {
            untilOverdueNanos = Math.min(untilOverdueNanos, suspect.suspectedAtNanos + timeoutNanos - nowNanos);
        }
        return untilOverdueNanos;
    }

    /** Removes and returns one member that ended at least {@code ageNanos} ago; null if there is none. */
    MemberRecord removeOneEnded(long ageNanos, long nowNanos) {
        Iterator<MemberRecord> records = ended.iterator();
        while (records.hasNext()) {
            MemberRecord record = records.next();
            if (nowNanos - record.endedAtNanos >= ageNanos) {
                records.remove();
                remove(record);
                return record;
            }
        }
        return null;
    }

    /** Returns the member of that name, or null if it is not known. */
    MemberRecord findByName(String name) {
        return byName.get(name);
    }

    /** Returns the member whose present process has that id, or null if none has. */
    MemberRecord findByProcess(long processId) {
        return byProcess.get(processId);
    }

    /** Returns all members, the ended ones included. */
    Collection<MemberRecord> records() {
        return byName.values();
    }

    /** Returns the members that are DEAD or LEFT and still retained. */
    List<MemberRecord> ended() {
        return ended;
    }

    /** Returns the number of live members, without the own process. */
    int liveCount() {
        return byName.size() - ended.size();
    }

    /** Returns the sum of the mixed ids of the live processes, the own one included. */
    long digest() {
        return digest;
    }

    /** Returns the number of members that were rejected because the table was full. */
    long rejected() {
        return rejected;
    }

    private MemberRecord add(MemberUpdate update, long nowNanos, List<MemberChange> changes) {
        if (byName.size() >= maxMembers) {
            if (ended.isEmpty()) {
                rejected++;
                return null;
            }
            remove(ended.remove(0));
        }
        MemberRecord added = new MemberRecord(update);
        byName.put(update.info().name(), added);
        addToIndexes(added, nowNanos);
        changes.add(new MemberChange(update.info(), Optional.empty(), update.state()));
        return added;
    }

    private void remove(MemberRecord record) {
        byName.remove(record.name());
        byProcess.remove(record.info().processId(), record);
    }

    private void removeFromIndexes(MemberRecord record) {
        byProcess.remove(record.info().processId(), record);
        if (record.state().isLive()) {
            digest -= mix(record.info().processId());
        }
        if (record.state() == MemberState.SUSPECT) {
            suspects.remove(record);
        } else if (!record.state().isLive()) {
            ended.remove(record);
        }
    }

    private void addToIndexes(MemberRecord record, long nowNanos) {
        byProcess.put(record.info().processId(), record);
        if (record.state().isLive()) {
            digest += mix(record.info().processId());
        }
        if (record.state() == MemberState.SUSPECT) {
            record.suspectedAtNanos = nowNanos;
            suspects.add(record);
        } else if (!record.state().isLive()) {
            record.endedAtNanos = nowNanos;
            ended.add(record);
        }
    }

    /** Applies the finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
