package burlarch.controller.register;

import burlarch.coordination.register.Acceptor;
import burlarch.coordination.register.AcceptorState;
import burlarch.coordination.register.AcceptorTransition;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.storage.AcceptorStore;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * This process's acceptor. It runs on the disk thread, so that a disk that hangs delays the acceptor and nothing else.
 *
 * <p>Invariant <em>durable before response</em>: a response leaves only after the state behind it is durable. A request
 * whose write fails gets no response; its proposer sends it again.
 */
final class LocalAcceptor {
    private enum DiskState {
        WRITABLE,
        FAILING
    }

    private final AcceptorStore store;
    private final Acceptor acceptor;
    private final Executor disk;
    /** The state on the disk; written by the disk thread, read by any thread. */
    private volatile AcceptorState durableState;

    /** Used by the disk thread alone; only decides what is logged. */
    private DiskState diskState = DiskState.WRITABLE;

    /** @param disk runs one task after the other; it rejects tasks beyond its bound, because proposers send again */
    LocalAcceptor(AcceptorStore store, Executor disk) {
        this.store = store;
        this.disk = disk;
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

    /** Handles a request. May be called on any thread; the response comes on the disk thread, or never. */
    void onRequest(RegisterMessage request, Consumer<RegisterMessage> responder) {
        try {
            disk.execute(() -> process(request, responder));
        } catch (RejectedExecutionException full) {
            Logger.debug("acceptor queue full: request dropped");
        }
    }

    /** Stores the acceptors of a chosen value on the disk. If that fails now, the next chosen value stores them. */
    void storeAcceptorSet(RegisterView chosen) {
        try {
            disk.execute(() -> saveAcceptorSet(chosen));
        } catch (RejectedExecutionException full) {
            Logger.debug("acceptor queue full: acceptor set not stored");
        }
    }

    private void saveAcceptorSet(RegisterView chosen) {
        try {
            StoredAcceptorSet.save(store, chosen);
        } catch (IOException e) {
            Logger.debug("acceptor set not stored: error=\"{}\"", e.getMessage());
        }
    }

    private void process(RegisterMessage request, Consumer<RegisterMessage> responder) {
        transition(request).filter(this::persist).ifPresent(done -> responder.accept(done.response()));
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

    /** Whether the state behind the response is durable. */
    private boolean persist(AcceptorTransition transition) {
        if (!transition.changed()) {
            return true;
        }
        try {
            store.save(transition.state());
            acceptor.onPersisted(transition.state());
            durableState = transition.state();
            onWriteSucceeded();
            return true;
        } catch (IOException e) {
            onWriteFailed(e);
            return false;
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
