package burlarch.coordination.register.proposal;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * A simulation of a register in virtual time: machines lose power, disks and messages, operators propose changes
 * based on what they have read, and reconcilers adapt the acceptor set to the machines.
 */
final class RegisterSimulation {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long FAULTS_END_NANOS = 20_000 * NANOS_PER_MILLI;
    private static final long FAULT_FREE_NANOS = 30_000 * NANOS_PER_MILLI;
    private static final int MAX_MACHINES = 6;
    private static final int FINAL_READS = 3;

    final ChosenValues chosen = new ChosenValues();
    int acknowledgedCount;
    int rejectedCount;
    int setChanges;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final List<SimulatedMachine> machines = new ArrayList<>();
    private final List<AcceptorMember> initialMembers = new ArrayList<>();
    private final List<RegisterView> views = new ArrayList<>();
    private final Set<Integer> neverApplied = new HashSet<>();
    private final Set<String> disconnected = new HashSet<>();
    private final double lossProbability;
    private final double duplicateProbability;
    private History acknowledged = History.EMPTY;
    private History lastRead = History.EMPTY;
    private boolean faultFree;
    private int changes;
    private int proposals;

    RegisterSimulation(long seed) {
        random = new Random(seed);
        lossProbability = random.nextInt(3) * 0.08;
        duplicateProbability = random.nextInt(2) * 0.1;
        double diskFailureProbability = random.nextInt(2) * 0.05;
        int count = 3 + random.nextInt(MAX_MACHINES - 2);
        int initial = Math.min(count, 3 + random.nextInt(2));
        for (int i = 0; i < count; i++) {
            machines.add(new SimulatedMachine("m" + i, time, random, diskFailureProbability, chosen::onDurable));
        }
        machines.subList(0, initial).forEach(machine -> initialMembers.add(machine.member()));
        views.add(RegisterView.ofInitialAcceptors(initialMembers));
    }

    /** Runs the simulation and checks its final state. */
    void run() {
        int operators = 2 + random.nextInt(3);
        for (int i = 0; i < operators; i++) {
            later(500, this::operate);
        }
        later(2_000, this::reconcileSet);
        later(3_000, this::reconcileSet);
        later(2_000, this::losePower);
        later(2_000, this::disconnectOne);
        boolean losesADisk = random.nextBoolean();
        if (losesADisk) {
            later(15_000, this::loseDisk);
        }
        time.runUntil(FAULTS_END_NANOS);
        faultFree = true;
        disconnected.clear();
        machines.stream().filter(machine -> !machine.up).forEach(SimulatedMachine::start);
        time.runUntil(FAULTS_END_NANOS + FAULT_FREE_NANOS);
        readFinalValue();
        checkFinalState();
    }

    private void later(int milliseconds, Runnable action) {
        time.after(random.nextInt(1, milliseconds) * NANOS_PER_MILLI, action);
    }

    private void operate() {
        if (faultFree) {
            return;
        }
        int number = ++changes;
        boolean onKnownBase = random.nextBoolean();
        int base = lastRead.version();
        RegisterChange change = current -> {
            History history = History.of(current);
            if (history.contains(number)) {
                return ChangeDecision.keep();
            }
            if (onKnownBase && history.version() != base) {
                return ChangeDecision.seal();
            }
            List<AcceptorMember> members = current == null ? List.of() : current.members();
            return new ChangeDecision.Write(
                    new RegisterValue(members, history.with(number).payload()));
        };
        propose(change, result -> {
            recordResult(number, result);
            later(random.nextInt(4) == 0 ? 5 : 800, this::operate);
        });
    }

    private void recordResult(int number, ProposalResult result) {
        if (result instanceof ProposalResult.NotStarted) {
            neverApplied.add(number);
        } else if (result instanceof ProposalResult.Chosen chosenResult) {
            History history = History.of(chosenResult.value());
            lastRead = history;
            if (history.contains(number)) {
                acknowledgedCount++;
            } else if (chosenResult.value() != null) {
                rejectedCount++;
                neverApplied.add(number);
            }
        }
    }

    /** Makes one step towards the set of all machines under their present storage identities. */
    private void reconcileSet() {
        RegisterChange change = current -> {
            List<AcceptorMember> members = current == null ? initialMembers : current.members();
            List<AcceptorMember> next = nextMembers(members);
            return next == null || current == null
                    ? ChangeDecision.keep()
                    : new ChangeDecision.Write(new RegisterValue(next, current.payload()));
        };
        propose(change, result -> {
            if (result instanceof ProposalResult.Chosen chosenResult
                    && chosenResult.decision() instanceof ChangeDecision.Write) {
                setChanges++;
            }
            later(faultFree ? 300 : 2_500, this::reconcileSet);
        });
    }

    private List<AcceptorMember> nextMembers(List<AcceptorMember> members) {
        for (SimulatedMachine machine : machines) {
            AcceptorMember now = machine.member();
            if (!members.contains(now)) {
                List<AcceptorMember> next = new ArrayList<>(members);
                next.removeIf(member -> member.address().equals(now.address()));
                next.add(now);
                return next;
            }
        }
        boolean shrinks = !faultFree && members.size() > 3 && random.nextInt(3) == 0;
        return shrinks ? members.subList(1, members.size()) : null;
    }

    private interface ResultHandler {
        void onResult(ProposalResult result);
    }

    private void propose(RegisterChange change, ResultHandler handler) {
        History before = acknowledged;
        long deadline = time.now() + random.nextInt(200, 6_000) * NANOS_PER_MILLI;
        Proposal proposal = new Proposal("p" + ++proposals, 0, randomView(), change, deadline, random);
        perform(proposal, proposal.start(time.now()), result -> {
            if (result instanceof ProposalResult.Chosen chosenResult) {
                recordChosen(chosenResult, before);
            }
            handler.onResult(result);
        });
    }

    private void recordChosen(ProposalResult.Chosen chosenResult, History before) {
        History history = History.of(chosenResult.value());
        assertThat(history.beginsWith(before))
                .as("%s after %s", history, before)
                .isTrue();
        if (chosenResult.value() != null) {
            assertThat(AcceptorSet.of(chosenResult.value().members()).isJoint()).isFalse();
            views.add(
                    random.nextBoolean()
                            ? RegisterView.of(chosenResult.proposalNumber(), chosenResult.value())
                            : RegisterView.ofChosenAcceptors(
                                    chosenResult.proposalNumber(),
                                    chosenResult.value().members()));
        }
        if (history.version() > acknowledged.version()) {
            acknowledged = history;
        }
    }

    /** Returns the newest known view, an older one, or the value that some disk holds, whether chosen or not. */
    private RegisterView randomView() {
        int choice = random.nextInt(4);
        AcceptorState state = machines.get(random.nextInt(machines.size())).state();
        if (choice == 0 && state.value() != null) {
            return RegisterView.of(state);
        }
        return choice == 1 && !faultFree ? views.get(random.nextInt(views.size())) : views.get(views.size() - 1);
    }

    private void perform(Proposal proposal, List<ProposalOutput> outputs, ResultHandler handler) {
        for (ProposalOutput output : outputs) {
            if (output instanceof ProposalOutput.Send send) {
                SimulatedMachine to = machine(send.member().address());
                transmit(
                        to,
                        () -> to.receive(
                                send.message(),
                                response -> transmit(
                                        to,
                                        () -> perform(proposal, proposal.onResponse(response, time.now()), handler))));
            } else if (output instanceof ProposalOutput.SetTimer timer) {
                time.after(
                        timer.atNanos() - time.now(), () -> perform(proposal, proposal.onTimer(time.now()), handler));
            } else if (output instanceof ProposalOutput.Finished finished) {
                handler.onResult(finished.result());
            }
        }
    }

    private SimulatedMachine machine(String address) {
        return machines.get(Integer.parseInt(address.substring(1)));
    }

    private void transmit(SimulatedMachine machine, Runnable arrival) {
        int copies = !faultFree && random.nextDouble() < duplicateProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean dropped = !faultFree && random.nextDouble() < lossProbability;
            if (!dropped && !disconnected.contains(machine.address)) {
                int maxDelayMillis = random.nextInt(20) == 0 ? 900 : 25;
                time.after(random.nextLong(maxDelayMillis * NANOS_PER_MILLI), arrival);
            }
        }
    }

    private void losePower() {
        if (faultFree) {
            return;
        }
        int count = random.nextInt(5) == 0 ? machines.size() : 1;
        for (int i = 0; i < count; i++) {
            SimulatedMachine machine = machines.get(random.nextInt(machines.size()));
            if (machine.up) {
                machine.losePower();
                later(random.nextBoolean() ? 50 : 2_000, machine::start);
            }
        }
        later(2_500, this::losePower);
    }

    /** One machine loses its disk and comes back at its old address. */
    private void loseDisk() {
        SimulatedMachine machine = machines.get(random.nextInt(machines.size()));
        if (!faultFree && !initialMembers.isEmpty() && chosen.newest() != null) {
            machine.losePower();
            machine.wipe();
            later(500, machine::start);
        }
    }

    private void disconnectOne() {
        if (faultFree) {
            return;
        }
        String address = machines.get(random.nextInt(machines.size())).address;
        disconnected.add(address);
        later(1_500, () -> disconnected.remove(address));
        later(2_500, this::disconnectOne);
    }

    private void readFinalValue() {
        List<ProposalResult> results = new ArrayList<>();
        for (int attempt = 0; attempt < FINAL_READS; attempt++) {
            propose(current -> ChangeDecision.keep(), results::add);
            time.runUntil(time.now() + FAULT_FREE_NANOS);
        }
        assertThat(results).hasSize(FINAL_READS).hasAtLeastOneElementOfType(ProposalResult.Chosen.class);
    }

    private void checkFinalState() {
        RegisterValue newest = chosen.newest();
        assertThat(History.of(newest).beginsWith(acknowledged)).isTrue();
        chosen.assertContainsNone(neverApplied);
        if (newest != null) {
            List<AcceptorMember> present = new ArrayList<>();
            machines.forEach(machine -> present.add(machine.member()));
            assertThat(newest.members()).containsExactlyInAnyOrderElementsOf(present);
        }
    }
}
