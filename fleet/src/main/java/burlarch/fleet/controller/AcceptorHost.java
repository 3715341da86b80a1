package burlarch.fleet.controller;

import burlarch.coordination.register.Acceptor;
import burlarch.coordination.register.AcceptorStep;
import burlarch.coordination.register.RegisterMessage;
import burlarch.storage.AcceptorStore;
import java.io.IOException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * This process's acceptor on a thread of its own, which alone touches the disk: a disk that hangs makes the
 * acceptor silent and holds nothing else up. A reply leaves only after its state is durable; one whose write
 * fails is dropped.
 */
final class AcceptorHost {
    /** Messages that wait for the disk; further ones are dropped, as proposers send again. */
    private static final int MOST_WAITING = 64;

    private final AcceptorStore store;
    private final Acceptor acceptor;
    private final ThreadPoolExecutor disk;
    private boolean failing;

    AcceptorHost(AcceptorStore store) {
        this.store = store;
        acceptor = new Acceptor(store.identity(), store.state());
        disk = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(MOST_WAITING),
                task -> {
                    Thread thread = new Thread(task, "disk");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /** Handles a message from any thread; the reply comes on the disk's thread, or never. */
    void handle(RegisterMessage message, Consumer<RegisterMessage> reply) {
        try {
            disk.execute(() -> step(message, reply));
        } catch (RejectedExecutionException full) {
            Logger.debug("acceptor busy, message dropped");
        }
    }

    private void step(RegisterMessage message, Consumer<RegisterMessage> reply) {
        AcceptorStep step = null;
        if (message instanceof RegisterMessage.Prepare prepare) {
            step = acceptor.onPrepare(prepare);
        } else if (message instanceof RegisterMessage.Accept accept) {
            step = acceptor.onAccept(accept);
        }
        if (step != null && persist(step)) {
            reply.accept(step.reply());
        }
    }

    private boolean persist(AcceptorStep step) {
        if (!step.changed()) {
            return true;
        }
        try {
            store.save(step.state());
            acceptor.adopt(step.state());
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
