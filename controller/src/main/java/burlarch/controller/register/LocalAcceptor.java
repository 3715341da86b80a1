package burlarch.controller.register;

import burlarch.controller.register.AcceptorDiskMonitor.WriteResult;
import burlarch.coordination.register.Acceptor;
import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.AcceptorTransition;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.storage.AcceptorStore;
import burlarch.transport.EventLoop;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Host of this process's acceptor. The acceptor runs on the disk thread, so that a hanging disk delays nothing else.
 *
 * <p>The result of each task on the disk thread is passed to the {@link AcceptorDiskMonitor} on the event loop.
 *
 * <p>Invariant <em>durable before response</em>: a response is sent only after the acceptor state that it reports is
 * durable. A request whose write fails gets no response; its proposer sends it again.
 */
final class LocalAcceptor {
    /** Name of the stored value that a disk probe writes. */
    private static final String PROBE_NAME = "disk-probe";

    private static final byte[] PROBE_VALUE = {1};

    private enum DiskState {
        WRITABLE,
        FAILING
    }

    private final AcceptorStore store;
    private final Acceptor acceptor;
    private final Executor disk;
    private final EventLoop loop;
    private final AcceptorDiskMonitor monitor;
    /** The state on the disk; written by the disk thread, read by any thread. */
    private volatile AcceptorState durableState;

    /** Used by the disk thread only; decides whether a change is logged. */
    private DiskState diskState = DiskState.WRITABLE;

    /** @param disk runs one task at a time; rejects tasks when its queue is full, because proposers retry */
    LocalAcceptor(AcceptorStore store, Executor disk, EventLoop loop, AcceptorDiskMonitor monitor) {
        this.store = store;
        this.disk = disk;
        this.loop = loop;
        this.monitor = monitor;
        durableState = store.state();
        acceptor = new Acceptor(store.identity(), durableState);
    }

    /**
     * Returns the last accepted value if it was accepted at the given proposal number. May be called on any thread. A
     * proposal number has only one value, so the result is the chosen value if that number is known to be chosen.
     */
    Optional<RegisterValue> acceptedAt(ProposalNumber number) {
        AcceptorState state = durableState;
        return state.accepted().equals(number) ? Optional.ofNullable(state.value()) : Optional.empty();
    }

    /**
     * Handles a prepare or accept request. Called on the event loop; the responder is called on the disk thread, or
     * never.
     */
    void onRequest(RegisterMessage request, Consumer<RegisterMessage> responder) {
        submit("request", () -> process(request, responder));
    }

    /**
     * Stores the acceptors of a chosen value on the disk. A failure is not retried; the next chosen value stores them.
     * Called on the event loop.
     */
    void storeAcceptorSet(RegisterView chosen) {
        submit("acceptor set", () -> saveAcceptorSet(chosen));
    }

    /** Writes a small value to find out whether the disk can be written. Called on the event loop. */
    void probeDisk() {
        submit("probe", this::writeProbe);
    }

    private void submit(String taskName, Supplier<WriteResult> task) {
        try {
            disk.execute(() -> {
                WriteResult result = task.get();
                loop.execute(() -> monitor.onTaskEnded(result, loop.nanoTime()));
            });
            monitor.onTaskSubmitted(loop.nanoTime());
        } catch (RejectedExecutionException full) {
            Logger.debug("acceptor queue full: {} dropped", taskName);
        }
    }

    private WriteResult saveAcceptorSet(RegisterView chosen) {
        try {
            StoredAcceptorSet.save(store, chosen);
            return WriteResult.NONE;
        } catch (IOException e) {
            Logger.debug("acceptor set not stored: error=\"{}\"", e.getMessage());
            return WriteResult.FAILED;
        }
    }

    private WriteResult writeProbe() {
        try {
            store.saveNamedValue(PROBE_NAME, PROBE_VALUE);
            onWriteSucceeded();
            return WriteResult.SUCCEEDED;
        } catch (IOException e) {
            return WriteResult.FAILED;
        }
    }

    private WriteResult process(RegisterMessage request, Consumer<RegisterMessage> responder) {
        Optional<AcceptorTransition> transition = transition(request);
        if (transition.isEmpty()) {
            return WriteResult.NONE;
        }
        WriteResult result = persist(transition.get());
        if (result != WriteResult.FAILED) {
            responder.accept(transition.get().response());
        }
        return result;
    }

    /** The transition for a request; empty for a message that is not a request to an acceptor. */
    private Optional<AcceptorTransition> transition(RegisterMessage request) {
        if (request instanceof RegisterMessage.PrepareRequest prepare) {
            return Optional.of(acceptor.onPrepare(prepare));
        }
        if (request instanceof RegisterMessage.AcceptRequest accept) {
            return Optional.of(acceptor.onAccept(accept));
        }
        return Optional.empty();
    }

    /** Makes the new acceptor state durable, if the request changed it. */
    private WriteResult persist(AcceptorTransition transition) {
        if (!transition.changed()) {
            return WriteResult.NONE;
        }
        try {
            store.save(transition.state());
            acceptor.onPersisted(transition.state());
            durableState = transition.state();
            onWriteSucceeded();
            return WriteResult.SUCCEEDED;
        } catch (IOException e) {
            onWriteFailed(e);
            return WriteResult.FAILED;
        }
    }

    private void onWriteSucceeded() {
        if (diskState == DiskState.FAILING) {
            diskState = DiskState.WRITABLE;
            Logger.info("disk writes succeed again: acceptor responds");
        }
    }

    private void onWriteFailed(IOException failure) {
        if (diskState == DiskState.WRITABLE) {
            diskState = DiskState.FAILING;
            Logger.warn("disk write failed: acceptor does not respond, error=\"{}\"", failure.getMessage());
        }
    }
}
