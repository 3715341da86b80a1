package burlarch.simulation.operators;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.simulation.NetworkSettings;
import burlarch.simulation.SimulatedNetwork;
import burlarch.simulation.Simulation;
import burlarch.simulation.operators.OperatorHistory.Outcome;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Simulation run of one seed: two to four operators, three or five controllers, and faults that end before the last
 * reads.
 */
final class OperatorRun {
    private static final long FAULT_PHASE_NANOS = 12 * Simulation.SECOND;
    private static final long FAULT_FREE_PHASE_NANOS = 6 * Simulation.SECOND;
    private static final int MAX_FAULT_DELAY_MILLIS = 1_200;

    private final OperatorModel.SharedState shared = new OperatorModel.SharedState();
    private final Random random;
    private final Simulation simulation;
    private final Map<String, ModelDisk> disks = new LinkedHashMap<>();
    private final List<AcceptorMember> members = new ArrayList<>();
    private final List<String> controllers = new ArrayList<>();
    private final List<String> operators = new ArrayList<>();

    OperatorRun(long seed, ControllerBehaviour behaviour) {
        random = new Random(seed);
        simulation = new Simulation(
                seed,
                NetworkSettings.defaults()
                        .withLoss(random.nextInt(3) * 0.06)
                        .withDuplication(random.nextInt(2) * 0.05));
        int acceptorCount = 3 + random.nextInt(2) * 2;
        for (int i = 0; i < acceptorCount; i++) {
            String name = "c" + i;
            disks.put(name, new ModelDisk());
            members.add(new AcceptorMember(name, name));
            controllers.add(name);
        }
        controllers.forEach(name -> simulation.addMachine(
                name, name, context -> new ControllerModel(context, disks.get(name), members, behaviour)));
        int count = 2 + random.nextInt(3);
        for (int i = 0; i < count; i++) {
            String name = "o" + i;
            operators.add(name);
            simulation.addMachine(name, name, context -> new OperatorModel(context, simulation, controllers, shared));
        }
    }

    /** Runs the seed and returns what operators saw. */
    OperatorHistory play() {
        simulation.machineNames().forEach(simulation::start);
        repeatAfterDelay(this::restart);
        repeatAfterDelay(this::freeze);
        repeatAfterDelay(this::partition);
        simulation.runUntil(FAULT_PHASE_NANOS);
        shared.faultsEnded = true;
        simulation.network().healAll();
        simulation.network().setSettings(NetworkSettings.defaults().withLoss(0).withDuplication(0));
        controllers.forEach(simulation::start);
        simulation.runFor(FAULT_FREE_PHASE_NANOS);
        readAfterFaults();
        return shared.history;
    }

    /** Returns whether the acknowledged weights are in force at the end of the run. */
    boolean areAcknowledgedWeightsInForce() {
        return shared.readWeightsVersion >= shared.acknowledgedWeightsVersion;
    }

    long count(Outcome outcome) {
        return shared.history.changes().stream()
                .filter(change -> change.outcome() == outcome)
                .count();
    }

    /** Restarts an operator, which then reads at once: without faults it chooses no other call. */
    private void readAfterFaults() {
        int readsBefore = shared.history.reads().size();
        simulation.kill(operators.get(0));
        simulation.start(operators.get(0));
        simulation.runFor(FAULT_FREE_PHASE_NANOS);
        if (shared.history.reads().size() <= readsBefore) {
            throw new AssertionError("no read succeeded in the fault-free phase");
        }
    }

    private void repeatAfterDelay(Runnable fault) {
        simulation.schedule(
                simulation.now() + (1 + random.nextInt(MAX_FAULT_DELAY_MILLIS)) * Simulation.MILLISECOND, () -> {
                    if (!shared.faultsEnded) {
                        fault.run();
                        repeatAfterDelay(fault);
                    }
                });
    }

    private String anyController() {
        return controllers.get(random.nextInt(controllers.size()));
    }

    /** Cuts the power of one controller, or of all just after an acknowledgement; each restarts later. */
    private void restart() {
        if (random.nextInt(3) == 0) {
            shared.onNextAcknowledgement = () -> losePower(controllers);
        } else {
            losePower(List.of(anyController()));
        }
    }

    private void losePower(List<String> machines) {
        for (String name : machines) {
            simulation.kill(name);
            simulation.schedule(
                    simulation.now() + random.nextInt(MAX_FAULT_DELAY_MILLIS) * Simulation.MILLISECOND,
                    () -> simulation.start(name));
        }
    }

    private void freeze() {
        simulation.freeze(anyController(), random.nextInt(3 * MAX_FAULT_DELAY_MILLIS) * Simulation.MILLISECOND);
    }

    /** Partitions a controller from the others or from the operators, in one direction or both. */
    private void partition() {
        Set<String> controller = Set.of(anyController());
        Set<String> others = Set.copyOf(random.nextInt(3) == 0 ? operators : controllers);
        boolean outbound = random.nextInt(3) > 0;
        boolean inbound = !outbound || random.nextBoolean();
        List<SimulatedNetwork.Partition> partitions = new ArrayList<>();
        if (outbound) {
            partitions.add(simulation.network().partition(controller, others));
        }
        if (inbound) {
            partitions.add(simulation.network().partition(others, controller));
        }
        simulation.schedule(
                simulation.now() + random.nextInt(2 * MAX_FAULT_DELAY_MILLIS) * Simulation.MILLISECOND,
                () -> partitions.forEach(simulation.network()::heal));
    }
}
