package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Whom to probe next: every live member once, in an order drawn anew for each turn. */
final class ProbeTargetSelector {
    private final MemberTable table;
    private final Random random;
    private final List<MemberRecord> remaining = new ArrayList<>();

    ProbeTargetSelector(MemberTable table, Random random) {
        this.table = table;
        this.random = random;
    }

    /** The next live member, or null where there is none. */
    MemberRecord next() {
        for (int turns = 0; turns < 2; turns++) {
            while (!remaining.isEmpty()) {
                MemberRecord row = remaining.remove(remaining.size() - 1);
                if (row.state().isLive() && table.findByName(row.name()) == row) {
                    return row;
                }
            }
            refill();
        }
        return null;
    }

    /** A new member waits for a random place in the present turn, as an even chance of an early probe. */
    void addAtRandomPosition(MemberRecord row) {
        if (!remaining.contains(row)) {
            remaining.add(random.nextInt(remaining.size() + 1), row);
        }
    }

    /** Up to {@code count} live members other than {@code except}, at random. */
    List<MemberRecord> randomAlive(int count, MemberRecord except) {
        List<MemberRecord> candidates = new ArrayList<>();
        for (MemberRecord row : table.records()) {
            if (row != except && row.state() == MemberState.ALIVE) {
                candidates.add(row);
            }
        }
        List<MemberRecord> drawn = new ArrayList<>(count);
        while (drawn.size() < count && !candidates.isEmpty()) {
            int index = random.nextInt(candidates.size());
            drawn.add(candidates.get(index));
            candidates.set(index, candidates.get(candidates.size() - 1));
            candidates.remove(candidates.size() - 1);
        }
        return drawn;
    }

    private void refill() {
        for (MemberRecord row : table.records()) {
            if (row.state().isLive()) {
                remaining.add(row);
            }
        }
        Collections.shuffle(remaining, random);
    }
}
