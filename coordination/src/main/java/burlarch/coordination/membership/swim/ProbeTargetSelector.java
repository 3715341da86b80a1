package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * The selector of probe targets: every live member once per pass, in a random order that is drawn anew for each pass.
 * So a failed member is probed within two passes (SWIM's round-robin probe target selection).
 */
final class ProbeTargetSelector {
    private final MemberTable table;
    private final Random random;
    /** The members still to be probed in this pass; the last one is next. */
    private final List<MemberRecord> remaining = new ArrayList<>();

    ProbeTargetSelector(MemberTable table, Random random) {
        this.table = table;
        this.random = random;
    }

    /** Returns the next live member, or null if there is none. */
    MemberRecord next() {
        for (int passes = 0; passes < 2; passes++) {
            while (!remaining.isEmpty()) {
                MemberRecord record = remaining.remove(remaining.size() - 1);
                if (record.state().isLive() && table.findByName(record.name()) == record) {
                    return record;
                }
            }
            refill();
        }
        return null;
    }

    /** Adds a new member to the present pass at a random position, so that it may be probed early. */
    void addAtRandomPosition(MemberRecord record) {
        if (!remaining.contains(record)) {
            remaining.add(random.nextInt(remaining.size() + 1), record);
        }
    }

    /** Returns up to {@code count} random ALIVE members. */
    List<MemberRecord> randomAlive(int count) {
        return randomAliveExcept(null, count);
    }

    /** Returns up to {@code count} random ALIVE members other than {@code except}. */
    List<MemberRecord> randomAliveExcept(MemberRecord except, int count) {
        List<MemberRecord> candidates = new ArrayList<>();
        for (MemberRecord record : table.records()) {
            if (record != except && record.state() == MemberState.ALIVE) {
                candidates.add(record);
            }
        }
        List<MemberRecord> selected = new ArrayList<>(count);
        while (selected.size() < count && !candidates.isEmpty()) {
            int index = random.nextInt(candidates.size());
            selected.add(candidates.get(index));
            candidates.set(index, candidates.get(candidates.size() - 1));
            candidates.remove(candidates.size() - 1);
        }
        return selected;
    }

    private void refill() {
        for (MemberRecord record : table.records()) {
            if (record.state().isLive()) {
                remaining.add(record);
            }
        }
        Collections.shuffle(remaining, random);
    }
}
