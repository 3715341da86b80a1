package burlarch.simulation.coordination;

import burlarch.controller.api.ControlService;
import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.simulation.NodeContext;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.CallMessages.ControlRequest;
import burlarch.simulation.coordination.CallMessages.ControlResponse;
import burlarch.transport.EventLoop;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

/** Answers calls of operators and instances as the control interface does. */
final class ControlEndpoint {
    private static final long CALL_NANOS = 930 * Simulation.MILLISECOND;
    private static final byte[] NOTHING = {};
    private static final int OK = 200;

    private final NodeContext context;
    private final EventLoop loop;
    private final ControlService service;
    private final Consumer<Throwable> failures;
    private final Observer observer;
    /** Calls go over connections: none comes twice. */
    private final Set<Long> seen = new HashSet<>();

    /** Told of what goes on here. */
    interface Observer {
        void onCall(ControlAction action);

        /** The answer is a success and on its way. */
        void onSuccess(ControlAction action);
    }

    ControlEndpoint(
            NodeContext context,
            EventLoop loop,
            ControlService service,
            Consumer<Throwable> failures,
            Observer observer) {
        this.observer = observer;
        this.context = context;
        this.loop = loop;
        this.service = service;
        this.failures = failures;
    }

    void onRequest(String from, ControlRequest request) {
        if (!seen.add(request.id())) {
            return;
        }
        observer.onCall(request.action());
        CompletableFuture<?> result = call(request.action());
        EventLoop.Timer limit = loop.schedule(CALL_NANOS, () -> result.cancel(false));
        result.whenComplete((body, failure) -> {
            limit.cancel();
            int status = failure == null ? OK : status(failure);
            context.send(
                    from, new ControlResponse(request.id(), status, body instanceof byte[] bytes ? bytes : NOTHING));
            if (failure == null) {
                observer.onSuccess(request.action());
            }
        });
    }

    private CompletableFuture<?> call(ControlAction action) {
        if (action instanceof ControlAction.Put put) {
            return service.putConfiguration(put.body(), put.ifMatch());
        } else if (action instanceof ControlAction.Patch patch) {
            return service.patchConfiguration(patch.body(), patch.ifMatch());
        } else if (action instanceof ControlAction.NameWeights weights) {
            return service.nameWeights(weights.model(), weights.version());
        } else if (action instanceof ControlAction.Announce announce) {
            return service.announce(announce.instance());
        } else if (action instanceof ControlAction.Leave leave) {
            return service.leave(leave.id());
        }
        return service.readConfiguration();
    }

    private int status(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof ControlException told) {
            return told.kind().status();
        }
        if (!(cause instanceof CancellationException)) {
            failures.accept(cause);
        }
        return ErrorKind.UNCLEAR.status();
    }
}
