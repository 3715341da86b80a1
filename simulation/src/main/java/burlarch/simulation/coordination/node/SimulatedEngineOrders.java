package burlarch.simulation.coordination.node;

import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.EngineAddress;
import burlarch.engine.EngineControlClient;
import burlarch.engine.WeightsOrder;
import burlarch.simulation.NodeContext;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.check.EngineOrderChecker;
import burlarch.simulation.coordination.node.CallMessages.EngineRequest;
import burlarch.simulation.coordination.node.CallMessages.EngineResponse;
import burlarch.transport.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Client for a controller's calls to engines over the simulated network. Runs on the controller's event loop. */
final class SimulatedEngineOrders implements EngineControlClient {
    private static final long TIMEOUT_NANOS = Simulation.SECOND;

    private final NodeContext context;
    private final EventLoop loop;
    private final EngineOrderChecker checker;
    private final Simulation simulation;
    private final Runnable onOrder;
    private final Map<Long, CompletableFuture<EngineResponse>> pending = new HashMap<>();
    private long callCount;

    /** @param onOrder called before each order is sent */
    SimulatedEngineOrders(
            NodeContext context, EventLoop loop, EngineOrderChecker checker, Simulation simulation, Runnable onOrder) {
        this.context = context;
        this.loop = loop;
        this.checker = checker;
        this.simulation = simulation;
        this.onOrder = onOrder;
    }

    @Override
    public CompletableFuture<Optional<EngineReport>> report(EngineAddress target) {
        return call(target, null).thenApply(response -> Optional.ofNullable(response.report()));
    }

    @Override
    public CompletableFuture<OrderResult> order(EngineAddress target, WeightsOrder order) {
        onOrder.run();
        checker.onSent(target.instance(), order, simulation.now());
        return call(target, order).thenApply(response -> {
            checker.onResult(target.instance(), order, response.result());
            return response.result();
        });
    }

    private CompletableFuture<EngineResponse> call(EngineAddress target, WeightsOrder order) {
        long id = context.incarnation() + ++callCount;
        CompletableFuture<EngineResponse> result = new CompletableFuture<>();
        pending.put(id, result);
        loop.schedule(TIMEOUT_NANOS, () -> onResponse(new EngineResponse(id, OrderResult.NO_RESPONSE, null)));
        context.send(target.address(), new EngineRequest(id, target.instance(), order));
        return result;
    }

    /** Handles a response; ignores duplicates and responses after the time-out. */
    void onResponse(EngineResponse response) {
        CompletableFuture<EngineResponse> result = pending.remove(response.id());
        if (result != null) {
            result.complete(response);
        }
    }
}
