package burlarch.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

/** A machine and the process on it, if one runs. */
final class Machine {
    /** What waits in the sockets of a frozen process; more is lost. */
    private static final int MAX_WAITING = 1_000;

    private record Waiting(String from, Object message) {}

    private final Simulation simulation;
    private final String name;
    private final String address;
    private final NodeFactory factory;
    private final Random random;
    private final long steadyOffset;
    private long dayOffsetMillis;
    private Process process;
    private long frozenUntil;

    Machine(Simulation simulation, String name, String address, NodeFactory factory, Random random) {
        this.simulation = simulation;
        this.name = name;
        this.address = address;
        this.factory = factory;
        this.random = random;
        steadyOffset = random.nextLong();
    }

    String name() {
        return name;
    }

    String address() {
        return address;
    }

    boolean running() {
        return process != null;
    }

    boolean frozen() {
        return running() && simulation.now() < frozenUntil;
    }

    SimulatedNode node() {
        return process == null ? null : process.node;
    }

    void start() {
        if (process == null) {
            process = new Process();
            process.node = factory.create(process);
            process.node.start(steadyNow());
        }
    }

    void kill() {
        if (process != null) {
            process.node.end();
        }
        process = null;
        frozenUntil = simulation.now();
    }

    void freeze(long duration) {
        if (process != null) {
            frozenUntil = Math.max(frozenUntil, simulation.now() + duration);
            Process frozen = process;
            simulation.at(frozenUntil, frozen::thaw);
        }
    }

    void jumpClock(long millis) {
        dayOffsetMillis += millis;
    }

    void receive(String from, Object message) {
        if (process != null) {
            process.receive(from, message);
        }
    }

    private long steadyNow() {
        return simulation.now() + steadyOffset;
    }

    /** One start of the machine's process. */
    private final class Process implements NodeContext {
        private final Random own = new Random(random.nextLong());
        private final long incarnation = random.nextLong() | 1;
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private SimulatedNode node;
        private long timer;

        void receive(String from, Object message) {
            if (!frozen()) {
                node.onMessage(from, message, steadyNow());
            } else if (waiting.size() < MAX_WAITING) {
                waiting.add(new Waiting(from, message));
            }
        }

        void thaw() {
            while (process == this && !frozen() && !waiting.isEmpty()) {
                Waiting next = waiting.remove();
                node.onMessage(next.from(), next.message(), steadyNow());
            }
        }

        @Override
        public void send(String to, Object message) {
            if (process == this) {
                simulation.send(Machine.this, to, message);
            }
        }

        @Override
        public void wakeUpAt(long time) {
            long wish = ++timer;
            simulation.at(time - steadyOffset, () -> fire(wish));
        }

        private void fire(long wish) {
            if (process != this || wish != timer) {
                return;
            }
            if (frozen()) {
                simulation.at(frozenUntil, () -> fire(wish));
            } else {
                node.onTimer(steadyNow());
            }
        }

        @Override
        public long timeOfDayMillis() {
            return simulation.now() / Simulation.MILLISECOND + dayOffsetMillis;
        }

        @Override
        public Random random() {
            return own;
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
