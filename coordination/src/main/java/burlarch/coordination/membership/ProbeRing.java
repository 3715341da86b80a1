package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Whom to probe next: every live member once, in an order drawn anew for each turn. */
final class ProbeRing {
    private final MemberTable table;
    private final Random random;
    private final List<MemberRecord> turn = new ArrayList<>();

    ProbeRing(MemberTable table, Random random) {
        this.table = table;
        this.random = random;
    }

    /** The next live member, or null where there is none. */
    MemberRecord next() {
        for (int turns = 0; turns < 2; turns++) {
            while (!turn.isEmpty()) {
                MemberRecord row = turn.remove(turn.size() - 1);
                if (row.state().live() && table.get(row.name()) == row) {
                    return row;
                }
            }
            fill();
        }
        return null;
    }

    /** A new member waits for a random place in the present turn, as an even chance of an early probe. */
    void join(MemberRecord row) {
        if (!turn.contains(row)) {
            turn.add(random.nextInt(turn.size() + 1), row);
        }
    }

    /** Up to {@code count} live members other than {@code except}, at random. */
    List<MemberRecord> helpers(int count, MemberRecord except) {
        List<MemberRecord> candidates = new ArrayList<>();
        for (MemberRecord row : table.rows()) {
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

    private void fill() {
        for (MemberRecord row : table.rows()) {
            if (row.state().live()) {
                turn.add(row);
            }
        }
        Collections.shuffle(turn, random);
    }
}
