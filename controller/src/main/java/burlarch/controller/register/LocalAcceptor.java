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
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * This process's acceptor on the disk's own thread: a disk that hangs makes the acceptor silent and holds
 * nothing else up. A reply leaves only after its state is durable; one whose write fails is dropped.
 */
public final class LocalAcceptor {
    private final AcceptorStore store;
    private final Acceptor acceptor;
    private final Executor disk;
    /** What the disk holds; written by the disk's thread, read by any. */
    private volatile AcceptorState durableState;

    private boolean failing;

    /**
     * @param disk runs one task after the other; it rejects those beyond its bound, as proposers send again
     */
    public LocalAcceptor(AcceptorStore store, Executor disk) {
        this.store = store;
        this.disk = disk;
        durableState = store.state();
        acceptor = new Acceptor(store.identity(), durableState);
    }

    /**
     * The value that was accepted here at that ballot; null where the newest one has another. From any
     * thread. A ballot has one value only, so this is the chosen one where that ballot is known as chosen.
     */
    public RegisterValue acceptedAt(ProposalNumber ballot) {
        AcceptorState state = durableState;
        return state.accepted().equals(ballot) ? state.value() : null;
    }

    /** Handles a message from any thread; the reply comes on the disk's thread, or never. */
    public void onRequest(RegisterMessage message, Consumer<RegisterMessage> reply) {
        try {
            disk.execute(() -> process(message, reply));
        } catch (RejectedExecutionException full) {
            Logger.debug("acceptor busy, message dropped");
        }
    }

    /** Lets the disk keep the acceptors of a chosen value; where it can't now, a later value tries again. */
    public void storeAcceptorSet(RegisterView chosen) {
        try {
            disk.execute(() -> saveAcceptorSet(chosen));
        } catch (RejectedExecutionException full) {
            Logger.debug("acceptor busy, the set of acceptors is not kept yet");
        }
    }

    private void saveAcceptorSet(RegisterView chosen) {
        try {
            StoredAcceptorSet.save(store, chosen);
        } catch (IOException e) {
            Logger.debug("the set of acceptors is not kept yet: {}", e.getMessage());
        }
    }

    private void process(RegisterMessage message, Consumer<RegisterMessage> reply) {
        AcceptorTransition step = null;
        if (message instanceof RegisterMessage.PrepareRequest prepare) {
            step = acceptor.onPrepare(prepare);
        } else if (message instanceof RegisterMessage.AcceptRequest accept) {
            step = acceptor.onAccept(accept);
        }
        if (step != null && persist(step)) {
            reply.accept(step.response());
        }
    }

    private boolean persist(AcceptorTransition step) {
        if (!step.changed()) {
            return true;
        }
        try {
            store.save(step.state());
            acceptor.onPersisted(step.state());
            durableState = step.state();
            if (failing) {
                failing = false;
                Logger.info("disk takes writes again");
            }
            return true;
        } catch (IOException e) {
            if (!failing) {
                failing = true;
                Logger.warn("disk refuses writes, acceptor is silent: {}", e.getMessage());
            }
            return false;
        }
    }
}
