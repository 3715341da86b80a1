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
 * Client for calls to controllers, one call at a time. A call is retried unchanged, with exponential backoff and at
 * another controller, until a response reports success or a final rejection, or until its time limit. Runs on the event
 * loop of its process.
 */
public final class ControlClient {
    private static final long RESPONSE_TIMEOUT_NANOS = Simulation.SECOND;
    private static final long FIRST_BACKOFF_NANOS = 100 * Simulation.MILLISECOND;
    private static final long MAX_BACKOFF_NANOS = Simulation.SECOND;
    /** Request id while no response is awaited. */
    private static final long NO_REQUEST = 0;

    private final NodeContext context;
    private final EventLoop loop;
    private final Supplier<List<String>> controllers;
    private final DoubleSupplier responseLossProbability;
    /** Address of the controller to call next; null for any. */
    private String nextController;
    /** Address of the controller at which the current call is retried; null for any. */
    private String retryController;

    private boolean lostResponse;
    private String lastController;
    private long requestCount;
    private Call currentCall;

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
            if (currentCall != this) {
                return;
            }
            long id = context.incarnation() + ++requestCount;
            requestId = id;
            context.send(chooseController(), new ControlRequest(id, action));
            loop.schedule(RESPONSE_TIMEOUT_NANOS, () -> {
                if (currentCall == this && requestId == id) {
                    retry();
                }
            });
        }

        void retry() {
            nextController = retryController;
            requestId = NO_REQUEST;
            if (loop.nanoTime() - giveUpAtNanos >= 0) {
                finish(Optional.empty());
                return;
            }
            loop.schedule(backoffNanos, this::send);
            backoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
        }

        void finish(Optional<ControlResponse> response) {
            currentCall = null;
            retryController = null;
            done.accept(response);
        }
    }

    /** Creates a client that loses only those responses that the network loses. */
    public ControlClient(NodeContext context, EventLoop loop, Supplier<List<String>> controllers) {
        this(context, loop, controllers, () -> 0);
    }

    /**
     * Creates a client that drops some responses after they have arrived.
     *
     * @param controllers current addresses to choose from, read whenever a request is sent
     * @param responseLossProbability current probability of dropping a response, read whenever one arrives
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
     * Starts a call and abandons the one in progress, if any.
     *
     * @param limitNanos time after which the call is not retried any more
     * @param done receives the response that reports success or a final rejection; empty if the limit is exceeded
     */
    public void call(ControlAction action, long limitNanos, Consumer<Optional<ControlResponse>> done) {
        lostResponse = false;
        currentCall = new Call(action, loop.nanoTime() + limitNanos, done);
        currentCall.send();
    }

    /** Makes the next call go to any controller. */
    public void clearPreference() {
        nextController = null;
    }

    /** Makes the next call go to this controller first, with retries at any. */
    void preferOnce(String address) {
        nextController = address;
        retryController = null;
    }

    /** Makes the next call go to this controller only, until it responds. */
    void preferUntilAnswered(String address) {
        nextController = address;
        retryController = address;
    }

    /** Returns whether the client dropped a response to the last call. */
    boolean hasLostResponse() {
        return lostResponse;
    }

    /** Returns the address of the controller that was called last. */
    String lastController() {
        return lastController;
    }

    private String chooseController() {
        if (nextController == null) {
            List<String> candidates = new ArrayList<>(controllers.get());
            if (lostResponse && candidates.size() > 1) {
                candidates.remove(lastController);
            }
            nextController = candidates.get(context.random().nextInt(candidates.size()));
        }
        lastController = nextController;
        return nextController;
    }

    /** Handles a response; ignores it unless it answers the latest request. */
    public void onResponse(ControlResponse response) {
        Call call = currentCall;
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
