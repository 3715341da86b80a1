package burlarch.coordination.register.proposal;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.register.Acceptor;
import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.AcceptorTransition;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import burlarch.coordination.register.acceptorset.AcceptorSetPlanner;
import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * A simulation of machines with one acceptor each, whose acceptor set changes while machines and disks are lost.
 * Messages are delivered one at a time, so that a proposal may be stopped between any two. After each message it is
 * checked that a quorum remains after any further tolerated loss.
 */
final class SimulatedAcceptorSet {
    static final int ANY_STEPS = Integer.MAX_VALUE;
    static final long NOW_NANOS = 100_000_000_000L;
    private static final long REMOVE_AFTER_NANOS = 2_000_000_000L;
    private static final long DEADLINE_NANOS = 3_000_000_000L;

    /** Faults that a test plants; the defaults plant none. */
    interface PlantedFaults {
        PlantedFaults NONE = new PlantedFaults() {};

        /** Returns the view of a process after a start. */
        default RegisterView view(RegisterView stored, List<AcceptorMember> initialMembers) {
            return stored;
        }

        /** Returns the identity of a disk that came back empty. */
        default String identity(String previous, String newIdentity) {
            return newIdentity;
        }

        /** Returns the message that an acceptor receives in place of the one sent. */
        default RegisterMessage delivered(RegisterMessage message) {
            return message;
        }

        /** Returns whether this acceptor persists the state that its responses report. */
        default boolean persists(String storageId) {
            return true;
        }

        /** Returns the next set, given the correctly planned one. */
        default List<AcceptorMember> nextMembers(List<AcceptorMember> members, List<AcceptorMember> plannedMembers) {
            return plannedMembers;
        }
    }

    private static final class Machine {
        private Acceptor acceptor;
        private AcceptorState durable = AcceptorState.EMPTY;
        private boolean removed;
        private boolean unresponsive;
    }

    private final PlantedFaults faults;
    private final Random random;
    private final int toleratedLosses;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<AcceptorMember> initialMembers = new ArrayList<>();
    private final ChosenValues chosen = new ChosenValues();
    private final AcceptorSetPlanner planner;
    private int diskCount;
    private int proposalCount;
    /** Lost machines, until the acceptor set is complete without them. */
    private final Set<String> lost = new LinkedHashSet<>();

    private int delivered;

    SimulatedAcceptorSet(int members, int spares, int toleratedLosses, long seed, PlantedFaults faults) {
        this.faults = faults;
        this.toleratedLosses = toleratedLosses;
        random = new Random(seed);
        planner = new AcceptorSetPlanner(REMOVE_AFTER_NANOS, 2 * toleratedLosses + 1);
        for (int i = 0; i < members + spares; i++) {
            addMachine();
        }
        addresses().subList(0, members).forEach(address -> initialMembers.add(member(address)));
    }

    String addMachine() {
        String address = "m" + machines.size();
        Machine machine = new Machine();
        machine.acceptor = new Acceptor(address + "-" + ++diskCount, AcceptorState.EMPTY);
        machines.put(address, machine);
        return address;
    }

    List<String> addresses() {
        return new ArrayList<>(machines.keySet());
    }

    List<String> running() {
        List<String> running = addresses();
        running.removeIf(address -> machines.get(address).removed);
        return running;
    }

    int delivered() {
        return delivered;
    }

    boolean mayLose() {
        forgetRepairedLosses();
        return lost.size() < toleratedLosses;
    }

    private AcceptorMember member(String address) {
        return new AcceptorMember(machines.get(address).acceptor.storageId(), address);
    }

    /** Removes a machine and its disk permanently. */
    void retire(String address) {
        machines.get(address).removed = true;
        lost.add(address);
    }

    /** Makes a machine stop responding, like one with a full disk. */
    void makeUnresponsive(String address) {
        machines.get(address).unresponsive = true;
    }

    /** Returns whether a loss is not repaired yet: until then the loss of the successor must be tolerated too. */
    boolean isReplacing() {
        forgetRepairedLosses();
        return !lost.isEmpty();
    }

    /** Permanently removes a successor that is being added; it does not count as a loss. */
    void retireSuccessor(String address) {
        machines.get(address).removed = true;
    }

    /** Restarts a machine at once with an empty disk. */
    void wipe(String address) {
        Machine machine = machines.get(address);
        String newIdentity = faults.identity(machine.acceptor.storageId(), address + "-" + ++diskCount);
        machine.durable = AcceptorState.EMPTY;
        machine.acceptor = new Acceptor(newIdentity, machine.durable);
        lost.add(address);
    }

    /** Cuts the power of all machines: state that was not on a disk is lost. */
    void losePower() {
        machines.values()
                .forEach(machine -> machine.acceptor = new Acceptor(machine.acceptor.storageId(), machine.durable));
    }

    /** Returns the view that the disk of a machine provides. */
    RegisterView view(String address) {
        Machine machine = machines.get(address);
        boolean isInitialMember =
                initialMembers.stream().anyMatch(initial -> initial.storageId().equals(machine.acceptor.storageId()));
        RegisterView stored = RegisterView.of(machine.durable)
                .newerOf(isInitialMember ? RegisterView.ofInitialAcceptors(initialMembers) : RegisterView.NONE);
        return faults.view(stored, isInitialMember ? initialMembers : List.of());
    }

    List<AcceptorMember> chosenMembers() {
        return chosen.newest().members();
    }

    History chosenHistory() {
        return History.of(chosen.newest());
    }

    /** Returns the change that the planner requests while these machines are unreachable; null if it requests none. */
    RegisterChange planned(Set<String> unreachable) {
        List<AcceptorMember> members = chosenMembers();
        if (AcceptorSet.of(members).isJoint()) {
            return current -> ChangeDecision.keep();
        }
        List<Candidate> candidates = new ArrayList<>();
        for (String address : addresses()) {
            boolean up = !machines.get(address).removed && !unreachable.contains(address);
            candidates.add(
                    up ? Candidate.ofReachable(member(address), 0) : Candidate.ofUnreachable(member(address), 0));
        }
        List<AcceptorMember> plannedMembers =
                planner.nextMembers(members, candidates, NOW_NANOS).orElse(null);
        if (plannedMembers == null) {
            return null;
        }
        List<AcceptorMember> next = faults.nextMembers(members, plannedMembers);
        return current -> current == null || !current.members().equals(members)
                ? ChangeDecision.keep()
                : new ChangeDecision.Write(new RegisterValue(next, current.payload()));
    }

    static RegisterChange writing(int number) {
        return current -> new ChangeDecision.Write(new RegisterValue(
                current == null ? List.of() : current.members(),
                History.of(current).with(number).payload()));
    }

    /**
     * Drives a proposal that starts at a machine.
     *
     * @param reach addresses that it reaches; messages to others are lost
     * @param steps number of messages that are delivered before all lose power
     * @return the result; null if the proposal was stopped
     */
    ProposalResult propose(String startAddress, RegisterChange change, Set<String> reach, int steps) {
        Proposal proposal = new Proposal("p" + ++proposalCount, 0, view(startAddress), change, DEADLINE_NANOS, random);
        Queue<ProposalOutput> pendingOutputs = new ArrayDeque<>(proposal.start(0));
        PriorityQueue<Long> timers = new PriorityQueue<>();
        long nowNanos = 0;
        for (int stepsLeft = steps; stepsLeft > 0; ) {
            ProposalOutput output = pendingOutputs.poll();
            if (output == null) {
                nowNanos = timers.remove();
                pendingOutputs.addAll(proposal.onTimer(nowNanos));
            } else if (output instanceof ProposalOutput.Finished finished) {
                return finished.result();
            } else if (output instanceof ProposalOutput.SetTimer timer) {
                timers.add(timer.atNanos());
            } else if (output instanceof ProposalOutput.Send send && reaches(send.member(), reach)) {
                stepsLeft--;
                RegisterMessage response = deliver(send);
                if (response != null) {
                    pendingOutputs.addAll(proposal.onResponse(response, nowNanos));
                }
            }
        }
        losePower();
        return null;
    }

    private boolean reaches(AcceptorMember member, Set<String> reach) {
        Machine machine = machines.get(member.address());
        return !machine.removed && !machine.unresponsive && reach.contains(member.address());
    }

    private RegisterMessage deliver(ProposalOutput.Send send) {
        delivered++;
        Machine machine = machines.get(send.member().address());
        RegisterMessage message = faults.delivered(send.message());
        AcceptorTransition transition = message instanceof RegisterMessage.PrepareRequest prepare
                ? machine.acceptor.onPrepare(prepare)
                : machine.acceptor.onAccept((RegisterMessage.AcceptRequest) message);
        machine.acceptor.onPersisted(transition.state());
        if (faults.persists(machine.acceptor.storageId())) {
            machine.durable = transition.state();
            chosen.onDurable(machine.acceptor.storageId(), transition.state());
        }
        assertTolerated();
        return transition.response();
    }

    /**
     * Forgets the losses once no value names a lost acceptor, not even an unfinished one: after a loss the
     * reconcilers get a value chosen, which excludes or completes the unfinished one.
     */
    private void forgetRepairedLosses() {
        RegisterValue newest = chosen.newest();
        if (newest == null || AcceptorSet.of(newest.members()).isJoint()) {
            return;
        }
        if (findableValues().stream().allMatch(value -> AcceptorSet.of(value.members()).votingMembers().stream()
                .allMatch(this::stillHasDisk))) {
            lost.clear();
        }
    }

    private boolean stillHasDisk(AcceptorMember member) {
        Machine machine = machines.get(member.address());
        return !machine.removed && machine.acceptor.storageId().equals(member.storageId());
    }

    /**
     * Asserts for each value that a proposal may find, chosen or not, that its quorum remains available even after as
     * many further losses as are tolerated.
     */
    private void assertTolerated() {
        if (chosen.newest() == null) {
            return;
        }
        forgetRepairedLosses();
        int furtherLosses = toleratedLosses - lost.size();
        for (RegisterValue value : findableValues()) {
            AcceptorSet set = AcceptorSet.of(value.members());
            Set<String> available = new TreeSet<>();
            for (AcceptorMember member : set.votingMembers()) {
                if (stillHasDisk(member) && !machines.get(member.address()).unresponsive) {
                    available.add(member.storageId());
                }
            }
            assertThat(tolerates(set, available, furtherLosses))
                    .as(
                            "members %s, available %s, further tolerated losses %d, lost %s",
                            value.members(), available, furtherLosses, lost)
                    .isTrue();
        }
    }

    private List<RegisterValue> findableValues() {
        List<RegisterValue> values = new ArrayList<>();
        values.add(chosen.newest());
        for (Machine machine : machines.values()) {
            boolean newer = machine.durable.accepted().compareTo(chosen.newestNumber()) > 0;
            if (!machine.removed && newer && !values.contains(machine.durable.value())) {
                values.add(machine.durable.value());
            }
        }
        return values;
    }

    private static boolean tolerates(AcceptorSet set, Set<String> available, int furtherLosses) {
        if (!set.hasQuorum(available)) {
            return false;
        }
        if (furtherLosses <= 0) {
            return true;
        }
        for (String storageId : available) {
            Set<String> remaining = new TreeSet<>(available);
            remaining.remove(storageId);
            if (!tolerates(set, remaining, furtherLosses - 1)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Asserts that every running machine reads the chosen value, beginning with the view of its own disk; a spare may
     * have no view.
     */
    void assertReadable(History before) {
        Set<String> allRunning = new LinkedHashSet<>(running());
        boolean anyRead = false;
        for (String address : running()) {
            if (view(address).members().isEmpty()) {
                continue;
            }
            ProposalResult result = propose(address, current -> ChangeDecision.keep(), allRunning, ANY_STEPS);
            if (result instanceof ProposalResult.Chosen read) {
                anyRead = true;
                assertThat(History.of(read.value()).beginsWith(before))
                        .as("%s read by %s, but %s was chosen", History.of(read.value()), address, before)
                        .isTrue();
            }
        }
        assertThat(anyRead).as("at least one disk leads to a quorum").isTrue();
    }
}
