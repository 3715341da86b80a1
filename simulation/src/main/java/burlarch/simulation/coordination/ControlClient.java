package burlarch.simulation.coordination;

import burlarch.simulation.NodeContext;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.CallMessages.ControlRequest;
import burlarch.simulation.coordination.CallMessages.ControlResponse;
import burlarch.transport.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** Calls controllers as the platform does: unchanged again, at another one, until there is a clear answer. */
final class ControlClient {
    private static final long RESPONSE_TIMEOUT_NANOS = Simulation.SECOND;
    private static final long FIRST_BACKOFF_NANOS = 100 * Simulation.MILLISECOND;
    private static final long MAX_BACKOFF_NANOS = Simulation.SECOND;

    private final NodeContext context;
    private final EventLoop loop;
    private final Supplier<List<String>> controllers;
    private final DoubleSupplier lossProbability;
    private String controller;
    private String persistentController;
    private boolean lostResponse;
    private String lastController;
    private long sent;
    private Attempt attempt;

    private final class Attempt {
        private final ControlAction action;
        private final long giveUpAt;
        private final Consumer<ControlResponse> done;
        private long backoffNanos = FIRST_BACKOFF_NANOS;
        private long id;

        Attempt(ControlAction action, long giveUpAt, Consumer<ControlResponse> done) {
            this.action = action;
            this.giveUpAt = giveUpAt;
            this.done = done;
        }

        void send() {
            if (attempt != this) {
                return;
            }
            id = context.incarnation() + ++sent;
            long sending = id;
            context.send(controller(), new ControlRequest(id, action));
            loop.schedule(RESPONSE_TIMEOUT_NANOS, () -> {
                if (attempt == this && id == sending) {
                    retry();
                }
            });
        }

        void retry() {
            controller = persistentController;
            id = 0;
            if (loop.nanoTime() - giveUpAt >= 0) {
                finish(null);
                return;
            }
            loop.schedule(backoffNanos, this::send);
            backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
        }

        void finish(ControlResponse answer) {
            attempt = null;
            persistentController = null;
            done.accept(answer);
        }
    }

    /** A caller whose answers all arrive, as far as the network brings them. */
    ControlClient(NodeContext context, EventLoop loop, Supplier<List<String>> controllers) {
        this(context, loop, controllers, () -> 0);
    }

    /**
     * A caller.
     *
     * @param controllers the addresses to choose from, as they are at the time of a call
     * @param lossProbability which share of the answers is lost on its last step
     */
    ControlClient(NodeContext context, EventLoop loop, Supplier<List<String>> controllers, DoubleSupplier lostShare) {
        this.context = context;
        this.loop = loop;
        this.controllers = controllers;
        this.lossProbability = lostShare;
    }

    /**
     * Calls, in place of a call that is under way.
     *
     * @param done gets 200 or a refusal; null after the time to give up
     */
    void call(ControlAction action, long limitNanos, Consumer<ControlResponse> done) {
        lostResponse = false;
        attempt = new Attempt(action, loop.nanoTime() + limitNanos, done);
        attempt.send();
    }

    /** The next call goes to any controller. */
    void clearPreference() {
        controller = null;
    }

    /**
     * The next call goes to this controller first.
     *
     * @param persistent whether it is sent there again until that one answers
     */
    void prefer(String address, boolean persistent) {
        controller = address;
        persistentController = persistent ? address : null;
    }

    /** Whether an answer to the last call was lost. */
    boolean hasLostResponse() {
        return lostResponse;
    }

    /** Who was called last. */
    String lastController() {
        return lastController;
    }

    private String controller() {
        if (controller == null) {
            List<String> all = new ArrayList<>(controllers.get());
            if (lostResponse && all.size() > 1) {
                all.remove(lastController);
            }
            controller = all.get(context.random().nextInt(all.size()));
        }
        lastController = controller;
        return controller;
    }

    void onResponse(ControlResponse answer) {
        Attempt current = attempt;
        if (current == null || answer.id() != current.id) {
            return;
        }
        double lost = lossProbability.getAsDouble();
        if (lost > 0 && context.random().nextDouble() < lost) {
            lostResponse = true;
            return;
        }
        if (answer.succeeded() || answer.rejected()) {
            current.finish(answer);
        } else {
            current.retry();
        }
    }
}
