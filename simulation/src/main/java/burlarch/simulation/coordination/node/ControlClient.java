package burlarch.simulation.coordination.node;

import burlarch.simulation.NodeContext;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.node.CallMessages.ControlRequest;
import burlarch.simulation.coordination.node.CallMessages.ControlResponse;
import burlarch.transport.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Calls controllers, one call at a time. A call is repeated unchanged, with exponential backoff and at another
 * controller, until a response succeeds or rejects it, or until its limit. Runs on the event loop of its process.
 */
public final class ControlClient {
    private static final long RESPONSE_TIMEOUT_NANOS = Simulation.SECOND;
    private static final long FIRST_BACKOFF_NANOS = 100 * Simulation.MILLISECOND;
    private static final long MAX_BACKOFF_NANOS = Simulation.SECOND;
    /** Id while no response is awaited. */
    private static final long NO_REQUEST = 0;

    private final NodeContext context;
    private final EventLoop loop;
    private final Supplier<List<String>> controllers;
    private final DoubleSupplier responseLossProbability;
    /** Address of the controller to call next; null for any. */
    private String controller;
    /** Address of the controller that the current call is repeated at; null for any. */
    private String persistentController;

    private boolean lostResponse;
    private String lastController;
    private long requestCount;
    private Call current;

    /** A call in progress: a request that awaits its response, or a backoff. */
    private final class Call {
        private final ControlAction action;
        private final long giveUpAtNanos;
        private final Consumer<Optional<ControlResponse>> done;
        private long backoffNanos = FIRST_BACKOFF_NANOS;
        private long requestId = NO_REQUEST;

        Call(ControlAction action, long giveUpAtNanos, Consumer<Optional<ControlResponse>> done) {
            this.action = action;
            this.giveUpAtNanos = giveUpAtNanos;
            this.done = done;
        }

        void send() {
            if (current != this) {
                return;
            }
            long id = context.incarnation() + ++requestCount;
            requestId = id;
            context.send(chooseController(), new ControlRequest(id, action));
            loop.schedule(RESPONSE_TIMEOUT_NANOS, () -> {
                if (current == this && requestId == id) {
                    retry();
                }
            });
        }

        void retry() {
            controller = persistentController;
            requestId = NO_REQUEST;
            if (loop.nanoTime() - giveUpAtNanos >= 0) {
                finish(Optional.empty());
                return;
            }
            loop.schedule(backoffNanos, this::send);
            backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
        }

        void finish(Optional<ControlResponse> response) {
            current = null;
            persistentController = null;
            done.accept(response);
        }
    }

    /** A client that loses no responses but those that the network loses. */
    public ControlClient(NodeContext context, EventLoop loop, Supplier<List<String>> controllers) {
        this(context, loop, controllers, () -> 0);
    }

    /**
     * A client that loses responses after they have arrived.
     *
     * @param controllers addresses to choose from, as they are when a request is sent
     * @param responseLossProbability probability that a response is lost, as it is when one arrives
     */
    ControlClient(
            NodeContext context,
            EventLoop loop,
            Supplier<List<String>> controllers,
            DoubleSupplier responseLossProbability) {
        this.context = context;
        this.loop = loop;
        this.controllers = controllers;
        this.responseLossProbability = responseLossProbability;
    }

    /**
     * Starts a call, in place of one that is in progress.
     *
     * @param done gets the response that succeeded or rejected the call; empty once the limit is over
     */
    public void call(ControlAction action, long limitNanos, Consumer<Optional<ControlResponse>> done) {
        lostResponse = false;
        current = new Call(action, loop.nanoTime() + limitNanos, done);
        current.send();
    }

    /** The next call goes to any controller. */
    public void clearPreference() {
        controller = null;
    }

    /** The next call goes to this controller first, and is repeated at any. */
    void preferOnce(String address) {
        controller = address;
        persistentController = null;
    }

    /** The next call goes to this controller only, until it responds. */
    void preferUntilAnswered(String address) {
        controller = address;
        persistentController = address;
    }

    /** Whether a response to the last call was lost after it had arrived. */
    boolean hasLostResponse() {
        return lostResponse;
    }

    /** Address of the controller that was called last. */
    String lastController() {
        return lastController;
    }

    private String chooseController() {
        if (controller == null) {
            List<String> candidates = new ArrayList<>(controllers.get());
            if (lostResponse && candidates.size() > 1) {
                candidates.remove(lastController);
            }
            controller = candidates.get(context.random().nextInt(candidates.size()));
        }
        lastController = controller;
        return controller;
    }

    /** Takes a response; ignores one that is not to the latest request. */
    public void onResponse(ControlResponse response) {
        Call call = current;
        if (call == null || response.id() != call.requestId) {
            return;
        }
        double lossProbability = responseLossProbability.getAsDouble();
        if (lossProbability > 0 && context.random().nextDouble() < lossProbability) {
            lostResponse = true;
            return;
        }
        if (response.succeeded() || response.rejected()) {
            call.finish(Optional.of(response));
        } else {
            call.retry();
        }
    }
}
