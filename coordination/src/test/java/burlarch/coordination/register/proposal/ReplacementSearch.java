package burlarch.coordination.register.proposal;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.acceptorset.AcceptorSetPlanner;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * One random history of a register of 3 to 7 acceptors that tolerates one or two losses: machines are replaced,
 * planned or not, disks come back empty, and power is lost between any two messages. New machines are in no settings.
 */
final class ReplacementSearch {
    private static final int EVENTS = 40;
    private static final int MAX_MACHINES = 24;
    private static final int MAX_STEPS = 40;

    int losses;
    int changes;

    private final Random random;
    private final SimulatedAcceptorSet simulatedSet;
    private History acknowledged = History.EMPTY;
    private int lastChange;

    ReplacementSearch(long seed, SimulatedAcceptorSet.PlantedFaults faults) {
        random = new Random(seed * 0x9E3779B97F4A7C15L);
        int members = 3 + random.nextInt(5);
        int tolerance = members < 5 ? 1 : 1 + random.nextInt(2);
        simulatedSet = new SimulatedAcceptorSet(members, random.nextInt(3), tolerance, seed, faults);
    }

    void run() {
        write(allRunning(), SimulatedAcceptorSet.ANY_STEPS);
        for (int i = 0; i < EVENTS; i++) {
            runRandomEvent();
        }
        repair();
        write(allRunning(), SimulatedAcceptorSet.ANY_STEPS);
        if (simulatedSet.mayLose()) {
            loseIfTolerated(() -> simulatedSet.wipe(randomMachine()));
        }
        simulatedSet.losePower();
        simulatedSet.assertReadable(acknowledged);
    }

    private void runRandomEvent() {
        switch (random.nextInt(10)) {
            case 0, 1, 2 -> write(randomReach(), randomSteps());
            case 3, 4, 5 -> change(Set.of(), randomReach(), randomSteps());
            case 6 -> simulatedSet.losePower();
            case 7 -> loseIfTolerated(() -> simulatedSet.wipe(randomMachine()));
            case 8 -> replace();
            default -> replacePlanned();
        }
    }

    private void loseIfTolerated(Runnable loss) {
        if (simulatedSet.mayLose()) {
            losses++;
            loss.run();
        }
    }

    private void replace() {
        if (simulatedSet.addresses().size() < MAX_MACHINES) {
            loseIfTolerated(() -> {
                simulatedSet.retire(randomMachine());
                simulatedSet.addMachine();
            });
        }
    }

    /** Adds the new machine first, then retires the old one whether or not the change was completed. */
    private void replacePlanned() {
        if (simulatedSet.addresses().size() < MAX_MACHINES) {
            String old = randomMachine();
            simulatedSet.addMachine();
            change(Set.of(old), randomReach(), randomSteps());
            loseIfTolerated(() -> simulatedSet.retire(old));
        }
    }

    private void repair() {
        for (int i = 0; i < 2 * AcceptorSetPlanner.MAX_MEMBERS; i++) {
            change(Set.of(), allRunning(), SimulatedAcceptorSet.ANY_STEPS);
        }
    }

    private void change(Set<String> unreachable, Set<String> reach, int steps) {
        RegisterChange change = simulatedSet.planned(unreachable);
        if (change != null) {
            changes++;
            propose(change, reach, steps);
        }
    }

    private void write(Set<String> reach, int steps) {
        propose(SimulatedAcceptorSet.writing(++lastChange), reach, steps);
    }

    private void propose(RegisterChange change, Set<String> reach, int steps) {
        List<String> withView = simulatedSet.running().stream()
                .filter(address -> !simulatedSet.view(address).members().isEmpty())
                .toList();
        String address = withView.get(random.nextInt(withView.size()));
        if (simulatedSet.propose(address, change, reach, steps) instanceof ProposalResult.Chosen result) {
            History history = History.of(result.value());
            assertThat(history.beginsWith(acknowledged))
                    .as("%s after %s", history, acknowledged)
                    .isTrue();
            acknowledged = history;
        }
    }

    private Set<String> allRunning() {
        return new LinkedHashSet<>(simulatedSet.running());
    }

    private Set<String> randomReach() {
        Set<String> reach = allRunning();
        reach.removeIf(address -> random.nextInt(5) == 0);
        return reach;
    }

    private int randomSteps() {
        return random.nextBoolean() ? SimulatedAcceptorSet.ANY_STEPS : random.nextInt(MAX_STEPS);
    }

    private String randomMachine() {
        List<String> running = simulatedSet.running();
        return running.get(random.nextInt(running.size()));
    }
}
