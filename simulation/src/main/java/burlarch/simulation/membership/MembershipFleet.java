package burlarch.simulation.membership;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.swim.Swim;
import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.simulation.NetworkSettings;
import burlarch.simulation.SimulatedNode;
import burlarch.simulation.Simulation;
import burlarch.simulation.scenario.ExpectationEvaluator;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Simulated fleet of members named {@code member-1}, {@code member-2} and so on, with counters of traffic and of false
 * failure detections. The first three members are the seeds. Evaluates scenario expectations with the verb {@code see}.
 *
 * <p>Not thread-safe; used on the simulation's thread.
 */
public final class MembershipFleet implements ExpectationEvaluator {
    private static final int SEED_COUNT = 3;
    private static final int MEMBERS_PER_SUBNET = 256;
    /** Interval within which all members start. */
    private static final int STARTUP_SPREAD_MILLIS = 300;

    /** Multiplier of member numbers that mixes the order in which members start. */
    private static final long STARTUP_ORDER_PRIME = 7_919L;

    private final Simulation simulation;
    private final int size;
    private long messages;
    private long bytes;
    private long falseDetections;

    /** Creates the machines without starting them. */
    public MembershipFleet(int size, long seed, NetworkSettings network, SwimSettings settings) {
        this.size = size;
        simulation = new Simulation(seed, network);
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= Math.min(SEED_COUNT, size); i++) {
            seeds.add(address(i));
        }
        for (int i = 1; i <= size; i++) {
            simulation.addMachine(
                    name(i), address(i), context -> new SwimNode(context, seeds, settings, this::onChange));
        }
        simulation.setMessageObserver((machine, message) -> {
            messages++;
            bytes += ((byte[]) message).length;
        });
    }

    /** Returns the simulation that the members run in. */
    public Simulation simulation() {
        return simulation;
    }

    /** Returns the name of a member by its number, from 1. */
    public static String name(int number) {
        return "member-" + number;
    }

    /** Starts all members within 0.3 s, in a mixed order. */
    public void startAll() {
        for (int i = 1; i <= size; i++) {
            String name = name(i);
            long delayNanos = Math.floorMod(i * STARTUP_ORDER_PRIME, STARTUP_SPREAD_MILLIS) * Simulation.MILLISECOND;
            simulation.schedule(simulation.now() + delayNanos, () -> simulation.start(name));
        }
    }

    /** Returns the protocol instance of a member. Throws NoSuchElementException if the member is not running. */
    public Swim swim(String name) {
        return simulation.node(name, SwimNode.class).orElseThrow().swim();
    }

    /** Returns whether each running member sees exactly the other running members in their current incarnations. */
    public boolean hasConverged() {
        List<String> running = runningMembers();
        return running.stream().allMatch(observer -> seesExactly(observer, running));
    }

    private boolean seesExactly(String observer, List<String> running) {
        return swim(observer).members().size() == running.size() - 1
                && swim(observer).members().stream()
                        .allMatch(member -> simulation.isRunning(member.name())
                                && member.equals(swim(member.name()).own()));
    }

    private List<String> runningMembers() {
        return simulation.machineNames().stream().filter(simulation::isRunning).toList();
    }

    /** Returns the number of running members that consider the subject dead or do not know it. */
    public int countObserversOfDeath(String subject) {
        int count = 0;
        for (String observer : runningMembers()) {
            if (!observer.equals(subject) && !isLive(swim(observer).stateOf(subject))) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of members, running or not. */
    public int size() {
        return size;
    }

    /** Returns the number of messages that all members have sent. */
    public long messages() {
        return messages;
    }

    /** Returns the number of message bytes that all members have sent. */
    public long bytes() {
        return bytes;
    }

    /** Returns how often a member declared another one dead that was running and not frozen. */
    public long falseDetections() {
        return falseDetections;
    }

    /**
     * Evaluates {@code see MEMBER|all STATE}. The state is {@code trusted}, {@code suspect}, {@code alive} (trusted or
     * suspect) or {@code dead}.
     */
    @Override
    public boolean holds(SimulatedNode node, String verb, List<String> arguments) {
        if (!verb.equals("see")) {
            throw new IllegalArgumentException("members can't " + verb);
        }
        Swim swim = ((SwimNode) node).swim();
        List<String> subjects = arguments.get(0).equals("all") ? simulation.machineNames() : List.of(arguments.get(0));
        for (String subject : subjects) {
            if (!subject.equals(swim.own().name()) && !matches(swim.stateOf(subject), arguments.get(1))) {
                return false;
            }
        }
        return true;
    }

    private static boolean matches(Optional<MemberState> state, String stateName) {
        return switch (stateName) {
            case "alive" -> isLive(state);
            case "trusted" -> state.equals(Optional.of(MemberState.ALIVE));
            case "suspect" -> state.equals(Optional.of(MemberState.SUSPECT));
            case "dead" -> !isLive(state);
            default -> throw new IllegalArgumentException("no state " + stateName);
        };
    }

    private static boolean isLive(Optional<MemberState> state) {
        return state.isPresent() && state.get().isLive();
    }

    private void onChange(String observer, MemberChange change) {
        String subject = change.member().name();
        if (change.disappeared()
                && simulation.isRunning(subject)
                && !simulation.isFrozen(subject)
                && change.member().equals(swim(subject).own())) {
            falseDetections++;
        }
    }

    private static String address(int number) {
        return "10.0." + number / MEMBERS_PER_SUBNET + "." + number % MEMBERS_PER_SUBNET + ":7000";
    }
}
