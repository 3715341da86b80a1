package burlarch.coordination.register.proposal;

import burlarch.coordination.register.Acceptor;
import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.AcceptorTransition;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** One machine with an acceptor whose disk takes time, and which loses power, and sometimes its disk. */
final class SimulatedMachine {
    private static final long LONGEST_SYNC = 8_000_000L;

    final String address;
    String storage;
    boolean up = true;
    private final VirtualTime time;
    private final Random random;
    private final double refusals;
    private final BiConsumer<String, AcceptorState> durableListener;
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private Acceptor acceptor;
    private AcceptorState durable = AcceptorState.EMPTY;
    private AcceptorState maybeDurable;
    private boolean busy;
    private int incarnation;
    private int disks;

    SimulatedMachine(
            String address,
            VirtualTime time,
            Random random,
            double refusals,
            BiConsumer<String, AcceptorState> durableListener) {
        this.address = address;
        this.time = time;
        this.random = random;
        this.refusals = refusals;
        this.durableListener = durableListener;
        wipe();
        start();
    }

    AcceptorMember member() {
        return new AcceptorMember(storage, address);
    }

    /** Newest state that this machine would tell of, chosen or not. */
    AcceptorState state() {
        return durable;
    }

    void losePower() {
        up = false;
        incarnation++;
        waiting.clear();
        busy = false;
        if (maybeDurable != null && random.nextBoolean()) {
            keep(maybeDurable);
        }
        maybeDurable = null;
    }

    void start() {
        acceptor = new Acceptor(storage, durable);
        up = true;
    }

    /** The disk comes back empty, and therefore under another identity. */
    void wipe() {
        storage = address + "-" + ++disks;
        durable = AcceptorState.EMPTY;
        maybeDurable = null;
    }

    void receive(RegisterMessage message, Consumer<RegisterMessage> reply) {
        if (up) {
            waiting.add(() -> step(message, reply));
            next();
        }
    }

    private void next() {
        if (!busy && !waiting.isEmpty()) {
            busy = true;
            waiting.remove().run();
        }
    }

    private void step(RegisterMessage message, Consumer<RegisterMessage> reply) {
        AcceptorTransition step = message instanceof RegisterMessage.PrepareRequest prepare
                ? acceptor.onPrepare(prepare)
                : acceptor.onAccept((RegisterMessage.AcceptRequest) message);
        if (step.changed()) {
            maybeDurable = step.state();
        }
        int started = incarnation;
        time.after(step.changed() ? random.nextLong(LONGEST_SYNC) : 0, () -> {
            if (started == incarnation) {
                synced(step, reply);
            }
        });
    }

    private void synced(AcceptorTransition step, Consumer<RegisterMessage> reply) {
        busy = false;
        if (!step.changed()) {
            reply.accept(step.response());
        } else if (random.nextDouble() >= refusals) {
            keep(step.state());
            maybeDurable = null;
            acceptor.onPersisted(step.state());
            reply.accept(step.response());
        }
        next();
    }

    private void keep(AcceptorState state) {
        durable = state;
        durableListener.accept(storage, state);
    }
}
