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

/**
 * A simulated machine with one acceptor: its disk writes take time or fail, and it loses power and sometimes its
 * disk.
 */
final class SimulatedMachine {
    private static final long MAX_SYNC_NANOS = 8_000_000L;

    final String address;
    String storageId;
    boolean up = true;
    private final VirtualTime time;
    private final Random random;
    private final double diskFailureProbability;
    private final BiConsumer<String, AcceptorState> durableListener;
    private final Queue<Runnable> waitingRequests = new ArrayDeque<>();
    private Acceptor acceptor;
    private AcceptorState durable = AcceptorState.EMPTY;
    private AcceptorState pendingState;
    private boolean writing;
    private int incarnation;
    private int diskCount;

    SimulatedMachine(
            String address,
            VirtualTime time,
            Random random,
            double diskFailureProbability,
            BiConsumer<String, AcceptorState> durableListener) {
        this.address = address;
        this.time = time;
        this.random = random;
        this.diskFailureProbability = diskFailureProbability;
        this.durableListener = durableListener;
        wipe();
        start();
    }

    AcceptorMember member() {
        return new AcceptorMember(storageId, address);
    }

    /** Returns the newest durable state of this machine, whether its value is chosen or not. */
    AcceptorState state() {
        return durable;
    }

    void losePower() {
        up = false;
        incarnation++;
        waitingRequests.clear();
        writing = false;
        if (pendingState != null && random.nextBoolean()) {
            makeDurable(pendingState);
        }
        pendingState = null;
    }

    void start() {
        acceptor = new Acceptor(storageId, durable);
        up = true;
    }

    /** Empties the disk, which therefore gets another identity. */
    void wipe() {
        storageId = address + "-" + ++diskCount;
        durable = AcceptorState.EMPTY;
        pendingState = null;
    }

    void receive(RegisterMessage message, Consumer<RegisterMessage> responseHandler) {
        if (up) {
            waitingRequests.add(() -> handle(message, responseHandler));
            startNext();
        }
    }

    private void startNext() {
        if (!writing && !waitingRequests.isEmpty()) {
            writing = true;
            waitingRequests.remove().run();
        }
    }

    private void handle(RegisterMessage message, Consumer<RegisterMessage> responseHandler) {
        AcceptorTransition transition = message instanceof RegisterMessage.PrepareRequest prepare
                ? acceptor.onPrepare(prepare)
                : acceptor.onAccept((RegisterMessage.AcceptRequest) message);
        if (transition.changed()) {
            pendingState = transition.state();
        }
        int startIncarnation = incarnation;
        time.after(transition.changed() ? random.nextLong(MAX_SYNC_NANOS) : 0, () -> {
            if (startIncarnation == incarnation) {
                onWriteEnded(transition, responseHandler);
            }
        });
    }

    private void onWriteEnded(AcceptorTransition transition, Consumer<RegisterMessage> responseHandler) {
        writing = false;
        if (!transition.changed()) {
            responseHandler.accept(transition.response());
        } else if (random.nextDouble() >= diskFailureProbability) {
            makeDurable(transition.state());
            pendingState = null;
            acceptor.onPersisted(transition.state());
            responseHandler.accept(transition.response());
        }
        startNext();
    }

    private void makeDurable(AcceptorState state) {
        durable = state;
        durableListener.accept(storageId, state);
    }
}
