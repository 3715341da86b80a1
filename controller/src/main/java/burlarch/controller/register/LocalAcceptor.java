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
 * This process's acceptor. It runs on the disk thread, so that a disk that hangs delays the acceptor and nothing else.
 *
 * <p>The {@link AcceptorDiskMonitor} learns on the event loop how each task of the disk thread ended.
 *
 * <p>Invariant <em>durable before response</em>: a response leaves only after the state behind it is durable. A request
 * whose write fails gets no response; its proposer sends it again.
 */
final class LocalAcceptor {
    /** Named value that a probe of the disk writes. */
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

    /** Used by the disk thread alone; only decides what is logged. */
    private DiskState diskState = DiskState.WRITABLE;

    /** @param disk runs one task after the other; it rejects tasks beyond its bound, because proposers send again */
    LocalAcceptor(AcceptorStore store, Executor disk, EventLoop loop, AcceptorDiskMonitor monitor) {
        this.store = store;
        this.disk = disk;
        this.loop = loop;
        this.monitor = monitor;
        durableState = store.state();
        acceptor = new Acceptor(store.identity(), durableState);
    }

    /**
     * The value that this acceptor accepted last, if it was accepted at that proposal number. May be called on any
     * thread. A proposal number has only one value, so this is the chosen value if the number is known as chosen.
     */
    Optional<RegisterValue> acceptedAt(ProposalNumber number) {
        AcceptorState state = durableState;
        return state.accepted().equals(number) ? Optional.ofNullable(state.value()) : Optional.empty();
    }

    /** Handles a request. Called on the event loop; the response comes on the disk thread, or never. */
    void onRequest(RegisterMessage request, Consumer<RegisterMessage> responder) {
        submit("request", () -> process(request, responder));
    }

    /**
     * Stores the acceptors of a chosen value on the disk. If that fails now, the next chosen value stores them.
     * Called on
     * the event loop.
     */
    void storeAcceptorSet(RegisterView chosen) {
        submit("acceptor set", () -> saveAcceptorSet(chosen));
    }

    /** Writes to the disk only to find out whether that is possible. Called on the event loop. */
    void probeDisk() {
        submit("probe", this::writeProbe);
    }

    private void submit(String what, Supplier<WriteResult> task) {
        try {
            disk.execute(() -> {
                WriteResult result = task.get();
                loop.execute(() -> monitor.onTaskEnded(result, loop.nanoTime()));
            });
            monitor.onTaskSubmitted(loop.nanoTime());
        } catch (RejectedExecutionException full) {
            Logger.debug("acceptor queue full: {} dropped", what);
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
        Optional<AcceptorTransition> done = transition(request);
        if (done.isEmpty()) {
            return WriteResult.NONE;
        }
        WriteResult result = persist(done.get());
        if (result != WriteResult.FAILED) {
            responder.accept(done.get().response());
        }
        return result;
    }

    /** Empty for a message that is no request to an acceptor. */
    private Optional<AcceptorTransition> transition(RegisterMessage request) {
        if (request instanceof RegisterMessage.PrepareRequest prepare) {
            return Optional.of(acceptor.onPrepare(prepare));
        }
        if (request instanceof RegisterMessage.AcceptRequest accept) {
            return Optional.of(acceptor.onAccept(accept));
        }
        return Optional.empty();
    }

    /** Makes the state behind the response durable. */
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
