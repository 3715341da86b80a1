package burlarch.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Random;

/**
 * Simulated machine with its clocks and at most one process.
 *
 * <p>A machine is stopped, running or frozen. {@link #start} changes it from stopped to running, {@link #kill} from
 * running or frozen to stopped, and {@link #freeze} from running to frozen; a frozen process resumes when the freeze
 * expires. Each start creates a new process with a new incarnation number.
 *
 * <p>Invariant (no effects after a kill): a killed process can neither send messages nor run timers.
 *
 * <p>Owned by one {@link Simulation}; not thread-safe.
 */
final class Machine {
    /** Capacity of a frozen process's receive buffer, in messages; further messages are lost. */
    private static final int MAX_PENDING_MESSAGES = 1_000;

    private record PendingMessage(String from, Object message) {}

    private final Simulation simulation;
    private final String name;
    private final String address;
    private final NodeFactory factory;
    private final Random random;
    /** Monotonic clock minus virtual time. Random, because monotonic clocks of different machines are unrelated. */
    private final long monotonicOffsetNanos;

    private long wallClockOffsetMillis;
    private Process process;
    private long frozenUntilNanos;

    Machine(Simulation simulation, String name, String address, NodeFactory factory, Random random) {
        this.simulation = simulation;
        this.name = name;
        this.address = address;
        this.factory = factory;
        this.random = random;
        monotonicOffsetNanos = random.nextLong();
    }

    String name() {
        return name;
    }

    String address() {
        return address;
    }

    /** Returns whether a process, frozen or not, runs on the machine. */
    boolean isRunning() {
        return process != null;
    }

    boolean isFrozen() {
        return isRunning() && simulation.now() < frozenUntilNanos;
    }

    /** Returns the process; empty if the machine is stopped. */
    Optional<SimulatedNode> node() {
        return process == null ? Optional.empty() : Optional.ofNullable(process.node);
    }

    /** Starts a new process; does nothing if one is running. */
    void start() {
        if (process == null) {
            process = new Process();
            process.node = factory.create(process);
            process.node.start(monotonicNanos());
        }
    }

    /** Kills the process and ends any freeze; does nothing to a stopped machine. */
    void kill() {
        if (process != null) {
            process.node.onKilled();
        }
        process = null;
        frozenUntilNanos = simulation.now();
    }

    /** Freezes the running process; overlapping freezes end when the last one expires. */
    void freeze(long durationNanos) {
        if (process != null) {
            frozenUntilNanos = Math.max(frozenUntilNanos, simulation.now() + durationNanos);
            Process frozenProcess = process;
            simulation.schedule(frozenUntilNanos, frozenProcess::deliverPending);
        }
    }

    void stepWallClock(long millis) {
        wallClockOffsetMillis += millis;
    }

    /** Delivers a message to the process; the message is lost if the machine is stopped. */
    void receive(String from, Object message) {
        if (process != null) {
            process.receive(from, message);
        }
    }

    private long monotonicNanos() {
        return simulation.now() + monotonicOffsetNanos;
    }

    /** One incarnation of the machine's process. */
    private final class Process implements NodeContext {
        private final Random processRandom = new Random(random.nextLong());
        private final long incarnation = random.nextLong() | 1;
        private final Deque<PendingMessage> pendingMessages = new ArrayDeque<>();
        private SimulatedNode node;
        /** Number of the latest timer request; a timer of an earlier request is stale and ignored. */
        private long timerGeneration;

        void receive(String from, Object message) {
            if (!isFrozen()) {
                node.onMessage(from, message, monotonicNanos());
            } else if (pendingMessages.size() < MAX_PENDING_MESSAGES) {
                pendingMessages.add(new PendingMessage(from, message));
            }
        }

        /** Delivers buffered messages until none is left or the process is killed or frozen again. */
        void deliverPending() {
            while (process == this && !isFrozen() && !pendingMessages.isEmpty()) {
                PendingMessage pending = pendingMessages.remove();
                node.onMessage(pending.from(), pending.message(), monotonicNanos());
            }
        }

        @Override
        public void send(String to, Object message) {
            if (process == this) {
                simulation.send(Machine.this, to, message);
            }
        }

        @Override
        public void setTimer(long timeNanos) {
            long generation = ++timerGeneration;
            simulation.schedule(timeNanos - monotonicOffsetNanos, () -> onTimerDue(generation));
        }

        private void onTimerDue(long generation) {
            if (process != this || generation != timerGeneration) {
                return;
            }
            if (isFrozen()) {
                simulation.schedule(frozenUntilNanos, () -> onTimerDue(generation));
            } else {
                node.onTimer(monotonicNanos());
            }
        }

        @Override
        public long wallClockMillis() {
            return simulation.now() / Simulation.MILLISECOND + wallClockOffsetMillis;
        }

        @Override
        public Random random() {
            return processRandom;
        }

        @Override
        public long incarnation() {
            return incarnation;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public String address() {
            return address;
        }
    }
}
