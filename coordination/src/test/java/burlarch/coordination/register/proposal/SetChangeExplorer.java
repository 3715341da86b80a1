package burlarch.coordination.register.proposal;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Plays every short life of a small register in which one acceptor is replaced: whoever held the newest
 * value, whomever the proposer of the change reaches, after whichever message all lose power, and whichever
 * disk is lost next. Then every disk that is left must lead to what was chosen.
 */
final class SetChangeExplorer {
    /** How the change comes about. */
    enum Kind {
        /** A machine is gone for good, a spare stands by. */
        LOST,
        /** A disk comes back empty. */
        WIPED,
        /** The old machine still runs while its successor is brought in, and goes then. */
        PLANNED,
        /** The successor of one that is out of reach for a while answers nobody, as with a full disk. */
        SILENT,
        /** Two more stand by. */
        GROWS
    }

    private static final int MOST_STEPS = 60;

    private final int members;
    private final int tolerance;
    private final SetChangeWorld.Faults faults;
    private final boolean thorough;
    private long lives;

    /** @param thorough whether power is lost in the middle of the next proposal too */
    SetChangeExplorer(int members, SetChangeWorld.Faults faults, boolean thorough) {
        this.members = members;
        tolerance = (members - 1) / 2;
        this.faults = faults;
        this.thorough = thorough;
    }

    /** How many lives were played. */
    long lives() {
        return lives;
    }

    void explore(Kind kind) {
        int machines = members + (kind == Kind.GROWS ? 2 : 1);
        for (Set<String> holders : subsets(members, members / 2 + 1)) {
            for (Set<String> reach : subsets(machines, 1)) {
                int steps = 0;
                while (steps <= MOST_STEPS && play(kind, holders, reach, steps)) {
                    steps++;
                }
            }
        }
    }

    /** Returns false where the change ended before so many messages. */
    private boolean play(Kind kind, Set<String> holders, Set<String> reach, int steps) {
        boolean stopped = true;
        int next = -1;
        while (next <= members) {
            SetChangeWorld world = begin(kind, holders);
            stopped = change(world, kind, reach, steps);
            if (next < 0) {
                end(world, steps);
            } else {
                String address = "m" + next;
                if (world.running().contains(address) && world.mayLose()) {
                    world.wipe(address);
                    end(world, steps);
                } else if (next == members && kind == Kind.LOST && world.isReplacing()) {
                    world.retireSuccessor(address);
                    end(world, steps);
                }
            }
            next++;
        }
        return stopped;
    }

    private SetChangeWorld begin(Kind kind, Set<String> holders) {
        lives++;
        SetChangeWorld world = new SetChangeWorld(members, kind == Kind.GROWS ? 2 : 1, tolerance, lives, faults);
        world.propose("m0", SetChangeWorld.writing(1), Set.copyOf(world.addresses()), SetChangeWorld.ANY_STEPS);
        world.propose(holders.iterator().next(), SetChangeWorld.writing(2), holders, SetChangeWorld.ANY_STEPS);
        return world;
    }

    /** Lets a machine bring the change forward; true where it was stopped. */
    private boolean change(SetChangeWorld world, Kind kind, Set<String> reach, int steps) {
        String leaves = "m" + (members - 1);
        switch (kind) {
            case LOST -> world.retire(leaves);
            case WIPED -> world.wipe(leaves);
            case SILENT -> world.silence("m" + members);
            default -> {}
        }
        boolean away = kind == Kind.PLANNED || kind == Kind.SILENT;
        RegisterChange change = world.planned(away ? Set.of(leaves) : Set.of());
        boolean stopped = world.propose("m0", change, reach, steps) == null;
        if (kind == Kind.PLANNED && world.mayLose()) {
            world.retire(leaves);
        }
        return stopped;
    }

    private void end(SetChangeWorld world, int seed) {
        History before = world.chosenHistory();
        if (thorough) {
            Set<String> all = Set.copyOf(world.running());
            world.propose(
                    world.running().get(seed % world.running().size()), SetChangeWorld.writing(3), all, 1 + seed % 7);
        }
        world.requireReadable(before);
        repair(world);
        loseWhoHolds(world, seed);
    }

    /** A last value reaches all but one; one of those that hold it loses its disk, all lose power. */
    private static void loseWhoHolds(SetChangeWorld world, int seed) {
        List<String> running = world.running();
        Set<String> reach = new LinkedHashSet<>(running);
        reach.remove(running.get(seed % running.size()));
        String holder = reach.iterator().next();
        ProposalResult last = world.propose(holder, SetChangeWorld.writing(4), reach, SetChangeWorld.ANY_STEPS);
        History before =
                last instanceof ProposalResult.Chosen known ? History.of(known.value()) : world.chosenHistory();
        if (world.mayLose()) {
            world.wipe(holder);
        }
        world.losePower();
        world.requireReadable(before);
    }

    /** The plan's changes until it wants none. */
    private static void repair(SetChangeWorld world) {
        for (int i = 0; i < 4; i++) {
            RegisterChange change = world.planned(Set.of());
            if (change == null) {
                return;
            }
            Set<String> all = Set.copyOf(world.running());
            for (String address : world.running()) {
                if (!world.belief(address).members().isEmpty()) {
                    world.propose(address, change, all, SetChangeWorld.ANY_STEPS);
                }
            }
        }
    }

    /** All sets of the first machines that have at least so many. */
    private static List<Set<String>> subsets(int machines, int fewest) {
        List<Set<String>> subsets = new ArrayList<>();
        for (int bits = 1; bits < 1 << machines; bits++) {
            Set<String> subset = new LinkedHashSet<>();
            for (int i = 0; i < machines; i++) {
                if ((bits >> i & 1) == 1) {
                    subset.add("m" + i);
                }
            }
            if (subset.size() >= fewest) {
                subsets.add(subset);
            }
        }
        return subsets;
    }
}
