package burlarch.simulation.coordination.node;

import burlarch.controller.api.ControlService;
import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.simulation.NodeContext;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.node.CallMessages.ControlRequest;
import burlarch.simulation.coordination.node.CallMessages.ControlResponse;
import burlarch.transport.EventLoop;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

/**
 * Server side of the calls of operators and instances at a controller: passes each to the {@link ControlService} and
 * responds with the HTTP status of its result, as the real control API does. Runs on the controller's event loop.
 */
final class ControlEndpoint {
    private static final long CALL_TIMEOUT_NANOS = 930 * Simulation.MILLISECOND;
    private static final byte[] NO_BODY = {};
    private static final int OK = 200;

    private final NodeContext context;
    private final EventLoop loop;
    private final ControlService service;
    private final Consumer<Throwable> failures;
    private final ControllerNode.Observer observer;
    /** Ids of all requests, to drop duplicates: on the connections of real calls no request arrives twice. */
    private final Set<Long> seenRequests = new HashSet<>();

    /** @param failures called with exceptions that the service should not throw */
    ControlEndpoint(
            NodeContext context,
            EventLoop loop,
            ControlService service,
            Consumer<Throwable> failures,
            ControllerNode.Observer observer) {
        this.context = context;
        this.loop = loop;
        this.service = service;
        this.failures = failures;
        this.observer = observer;
    }

    void onRequest(String from, ControlRequest request) {
        if (!seenRequests.add(request.id())) {
            return;
        }
        observer.onCall(request.action());
        CompletableFuture<?> result = call(request.action());
        EventLoop.Timer timeout = loop.schedule(CALL_TIMEOUT_NANOS, () -> result.cancel(false));
        result.whenComplete((body, failure) -> {
            timeout.cancel();
            context.send(from, response(request, body, failure));
            if (failure == null) {
                observer.onSuccess(request.action());
            }
        });
    }

    private ControlResponse response(ControlRequest request, Object body, Throwable failure) {
        int status = failure == null ? OK : statusOf(failure);
        return new ControlResponse(request.id(), status, body instanceof byte[] bytes ? bytes : NO_BODY);
    }

    private CompletableFuture<?> call(ControlAction action) {
        if (action instanceof ControlAction.Put put) {
            return service.putConfiguration(put.body(), put.ifMatch());
        } else if (action instanceof ControlAction.Patch patch) {
            return service.patchConfiguration(patch.body(), patch.ifMatch());
        } else if (action instanceof ControlAction.NameWeights weights) {
            return service.setWeightsVersion(weights.model(), weights.version());
        } else if (action instanceof ControlAction.Announce announce) {
            return service.announce(announce.instance());
        } else if (action instanceof ControlAction.Leave leave) {
            return service.leave(leave.id());
        }
        return service.readConfiguration();
    }

    private int statusOf(Throwable failure) {
        Throwable cause = failure;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof ControlException error) {
            return error.kind().status();
        }
        // A call that was cancelled has timed out: its outcome is unknown.
        if (!(cause instanceof CancellationException)) {
            failures.accept(cause);
        }
        return ErrorKind.UNCLEAR.status();
    }
}
