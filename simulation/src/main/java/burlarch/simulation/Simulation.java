package burlarch.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Deterministic discrete-event simulation of machines, their processes and the network between them.
 *
 * <p>Invariant (reproducibility): all random numbers derive from one seed, events run in a total order
 * ({@link EventQueue}), and nothing reads a real clock or uses another thread. The same seed and the same calls produce
 * the same run.
 *
 * <p>Times are nanoseconds of virtual time, from 0. Not thread-safe: a single thread must make all calls.
 */
public final class Simulation {
    /** Nanoseconds in a millisecond. */
    public static final long MILLISECOND = 1_000_000L;

    /** Nanoseconds in a second. */
    public static final long SECOND = 1_000_000_000L;

    /** Observes the messages that processes send. */
    public interface MessageObserver {
        /** Called when a process sends a message, before the network decides whether it arrives. */
        void onSend(String fromMachine, Object message);
    }

    private final EventQueue events = new EventQueue();
    private final Random random;
    private final SimulatedNetwork network;
    private final Map<String, Machine> machinesByName = new LinkedHashMap<>();
    private final Map<String, Machine> machinesByAddress = new HashMap<>();
    private MessageObserver messageObserver = (machine, message) -> {};

    /** Creates a simulation without machines, at time 0. */
    public Simulation(long seed, NetworkSettings settings) {
        random = new Random(seed);
        network = new SimulatedNetwork(settings, new Random(random.nextLong()));
    }

    /** Adds a stopped machine. Throws IllegalArgumentException if its name or address is in use. */
    public void addMachine(String name, String address, NodeFactory factory) {
        Machine machine = new Machine(this, name, address, factory, new Random(random.nextLong()));
        if (machinesByName.putIfAbsent(name, machine) != null
                || machinesByAddress.putIfAbsent(address, machine) != null) {
            throw new IllegalArgumentException("there is a machine " + name + " or " + address);
        }
    }

    /** Returns the virtual time. */
    public long now() {
        return events.nowNanos();
    }

    /** Schedules an action; a time in the past is treated as the current time. */
    public void schedule(long timeNanos, Runnable action) {
        events.schedule(timeNanos, action);
    }

    /** Schedules an action after a delay. */
    public void scheduleAfter(long delayNanos, Runnable action) {
        events.schedule(now() + delayNanos, action);
    }

    /** Runs all events that are due at or before a time, then advances the clock to that time. */
    public void runUntil(long timeNanos) {
        events.runUntil(timeNanos);
    }

    /** Runs for a duration of virtual time. */
    public void runFor(long durationNanos) {
        events.runUntil(now() + durationNanos);
    }

    /** Starts a process on the machine; does nothing if one is running. */
    public void start(String name) {
        machine(name).start();
    }

    /** Kills the machine's process, if one is running, without an orderly shutdown. */
    public void kill(String name) {
        machine(name).kill();
    }

    /**
     * Freezes the machine's process for a duration. Messages are buffered meanwhile; those beyond the buffer's capacity
     * are lost.
     */
    public void freeze(String name, long durationNanos) {
        machine(name).freeze(durationNanos);
    }

    /** Delivers a signal to the machine's process immediately, or to a frozen process when it resumes. */
    public void signal(String name, Object signal) {
        machine(name).receive(name, signal);
    }

    /** Steps the machine's wall clock; its monotonic clock is not affected. */
    public void stepWallClock(String name, long millis) {
        machine(name).stepWallClock(millis);
    }

    /** Returns the names of all machines in the order in which they were added. */
    public List<String> machineNames() {
        return new ArrayList<>(machinesByName.keySet());
    }

    /** Returns whether a process, frozen or not, runs on the machine. */
    public boolean isRunning(String name) {
        return machine(name).isRunning();
    }

    /** Returns whether the machine's process is frozen. */
    public boolean isFrozen(String name) {
        return machine(name).isFrozen();
    }

    /** Returns the machine's process; empty if none is running. */
    public Optional<SimulatedNode> node(String name) {
        return machine(name).node();
    }

    /** Returns the machine's process; empty if none is running or it is of another type. */
    public <T> Optional<T> node(String name, Class<T> type) {
        return node(name).filter(type::isInstance).map(type::cast);
    }

    /** Returns the network between the machines. */
    public SimulatedNetwork network() {
        return network;
    }

    /** Replaces the observer of sent messages; initially there is none. */
    public void setMessageObserver(MessageObserver observer) {
        messageObserver = observer;
    }

    void send(Machine from, String address, Object message) {
        messageObserver.onSend(from.name(), message);
        Machine to = machinesByAddress.get(address);
        if (to == null) {
            return;
        }
        for (long delayNanos : network.drawDelaysNanos(from.name(), to.name(), message, now())) {
            schedule(now() + delayNanos, () -> to.receive(from.address(), message));
        }
    }

    private Machine machine(String name) {
        Machine machine = machinesByName.get(name);
        if (machine == null) {
            throw new IllegalArgumentException("no machine " + name);
        }
        return machine;
    }
}
