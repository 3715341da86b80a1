package burlarch.coordination.register.proposal;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Explores every short history of a small register in which one acceptor is replaced: every set of holders of the
 * newest value, every set of acceptors that the proposer of the change reaches, a power loss of all machines after
 * every message, and the loss of any disk after that. Then every remaining disk must lead to the chosen value.
 */
final class SetChangeExplorer {
    /** The cause of the set change. */
    enum Kind {
        /** A machine is lost permanently; a spare is available. */
        LOST,
        /** A disk comes back empty. */
        WIPED,
        /** The old machine runs until its successor was added, and is then retired. */
        PLANNED,
        /** An acceptor is temporarily unreachable, and its successor does not respond, as with a full disk. */
        UNRESPONSIVE,
        /** Two spares are available. */
        GROWS
    }

    private static final int MAX_STEPS = 60;

    private final int members;
    private final int tolerance;
    private final SimulatedAcceptorSet.PlantedFaults faults;
    private final boolean thorough;
    private long historiesRun;

    /** @param thorough whether power is also lost in the middle of the next proposal */
    SetChangeExplorer(int members, SimulatedAcceptorSet.PlantedFaults faults, boolean thorough) {
        this.members = members;
        tolerance = (members - 1) / 2;
        this.faults = faults;
        this.thorough = thorough;
    }

    /** Returns the number of histories that were run. */
    long historyCount() {
        return historiesRun;
    }

    void explore(Kind kind) {
        int machines = members + (kind == Kind.GROWS ? 2 : 1);
        for (Set<String> holderAddresses : subsets(members, members / 2 + 1)) {
            for (Set<String> reach : subsets(machines, 1)) {
                int steps = 0;
                while (steps <= MAX_STEPS && runHistories(kind, holderAddresses, reach, steps)) {
                    steps++;
                }
            }
        }
    }

    /**
     * Runs the histories of one change that is stopped after some messages. Returns false if the change ended before
     * that.
     */
    private boolean runHistories(Kind kind, Set<String> holderAddresses, Set<String> reach, int steps) {
        boolean stopped = true;
        int wipedIndex = -1;
        while (wipedIndex <= members) {
            SimulatedAcceptorSet simulatedSet = createSet(kind, holderAddresses);
            stopped = change(simulatedSet, kind, reach, steps);
            if (wipedIndex < 0) {
                checkFinalState(simulatedSet, steps);
            } else {
                String address = "m" + wipedIndex;
                if (simulatedSet.running().contains(address) && simulatedSet.mayLose()) {
                    simulatedSet.wipe(address);
                    checkFinalState(simulatedSet, steps);
                } else if (wipedIndex == members && kind == Kind.LOST && simulatedSet.isReplacing()) {
                    simulatedSet.retireSuccessor(address);
                    checkFinalState(simulatedSet, steps);
                }
            }
            wipedIndex++;
        }
        return stopped;
    }

    private SimulatedAcceptorSet createSet(Kind kind, Set<String> holderAddresses) {
        historiesRun++;
        SimulatedAcceptorSet simulatedSet =
                new SimulatedAcceptorSet(members, kind == Kind.GROWS ? 2 : 1, tolerance, historiesRun, faults);
        simulatedSet.propose(
                "m0",
                SimulatedAcceptorSet.writing(1),
                Set.copyOf(simulatedSet.addresses()),
                SimulatedAcceptorSet.ANY_STEPS);
        simulatedSet.propose(
                holderAddresses.iterator().next(),
                SimulatedAcceptorSet.writing(2),
                holderAddresses,
                SimulatedAcceptorSet.ANY_STEPS);
        return simulatedSet;
    }

    /** Proposes the change from one machine; returns true if it was stopped. */
    private boolean change(SimulatedAcceptorSet simulatedSet, Kind kind, Set<String> reach, int steps) {
        String leavingMachine = "m" + (members - 1);
        switch (kind) {
            case LOST -> simulatedSet.retire(leavingMachine);
            case WIPED -> simulatedSet.wipe(leavingMachine);
            case UNRESPONSIVE -> simulatedSet.makeUnresponsive("m" + members);
            default -> {}
        }
        boolean leavingIsUnreachable = kind == Kind.PLANNED || kind == Kind.UNRESPONSIVE;
        RegisterChange change = simulatedSet.planned(leavingIsUnreachable ? Set.of(leavingMachine) : Set.of());
        boolean stopped = simulatedSet.propose("m0", change, reach, steps) == null;
        if (kind == Kind.PLANNED && simulatedSet.mayLose()) {
            simulatedSet.retire(leavingMachine);
        }
        return stopped;
    }

    private void checkFinalState(SimulatedAcceptorSet simulatedSet, int seed) {
        History before = simulatedSet.chosenHistory();
        if (thorough) {
            Set<String> allRunning = Set.copyOf(simulatedSet.running());
            simulatedSet.propose(
                    simulatedSet.running().get(seed % simulatedSet.running().size()),
                    SimulatedAcceptorSet.writing(3),
                    allRunning,
                    1 + seed % 7);
        }
        simulatedSet.assertReadable(before);
        repair(simulatedSet);
        loseHolderOfLastValue(simulatedSet, seed);
    }

    /** Writes a last value to all but one machine; then one holder loses its disk, and all lose power. */
    private static void loseHolderOfLastValue(SimulatedAcceptorSet simulatedSet, int seed) {
        List<String> running = simulatedSet.running();
        Set<String> reach = new LinkedHashSet<>(running);
        reach.remove(running.get(seed % running.size()));
        String holder = reach.iterator().next();
        ProposalResult lastResult =
                simulatedSet.propose(holder, SimulatedAcceptorSet.writing(4), reach, SimulatedAcceptorSet.ANY_STEPS);
        History before = lastResult instanceof ProposalResult.Chosen chosenResult
                ? History.of(chosenResult.value())
                : simulatedSet.chosenHistory();
        if (simulatedSet.mayLose()) {
            simulatedSet.wipe(holder);
        }
        simulatedSet.losePower();
        simulatedSet.assertReadable(before);
    }

    /** Applies the planned changes until none is needed. */
    private static void repair(SimulatedAcceptorSet simulatedSet) {
        for (int i = 0; i < 4; i++) {
            RegisterChange change = simulatedSet.planned(Set.of());
            if (change == null) {
                return;
            }
            Set<String> allRunning = Set.copyOf(simulatedSet.running());
            for (String address : simulatedSet.running()) {
                if (!simulatedSet.view(address).members().isEmpty()) {
                    simulatedSet.propose(address, change, allRunning, SimulatedAcceptorSet.ANY_STEPS);
                }
            }
        }
    }

    /** Returns all subsets of the first {@code machines} machines with at least {@code minSize} elements. */
    private static List<Set<String>> subsets(int machines, int minSize) {
        List<Set<String>> subsets = new ArrayList<>();
        for (int bits = 1; bits < 1 << machines; bits++) {
            Set<String> subset = new LinkedHashSet<>();
            for (int i = 0; i < machines; i++) {
                if ((bits >> i & 1) == 1) {
                    subset.add("m" + i);
                }
            }
            if (subset.size() >= minSize) {
                subsets.add(subset);
            }
        }
        return subsets;
    }
}
