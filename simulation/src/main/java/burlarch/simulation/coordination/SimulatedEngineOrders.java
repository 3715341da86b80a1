package burlarch.simulation.coordination;

import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import burlarch.engine.EngineAddress;
import burlarch.engine.EngineControlClient;
import burlarch.engine.WeightsOrder;
import burlarch.simulation.NodeContext;
import burlarch.simulation.Simulation;
import burlarch.simulation.coordination.CallMessages.EngineRequest;
import burlarch.simulation.coordination.CallMessages.EngineResponse;
import burlarch.transport.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A controller's calls to engines over the simulated network. */
final class SimulatedEngineOrders implements EngineControlClient {
    private static final long LIMIT_NANOS = Simulation.SECOND;

    private final NodeContext context;
    private final EventLoop loop;
    private final EngineOrderChecker rule;
    private final Simulation simulation;
    private final Runnable onOrder;
    private final Map<Long, CompletableFuture<EngineResponse>> open = new HashMap<>();
    private long calls;

    SimulatedEngineOrders(
            NodeContext context, EventLoop loop, EngineOrderChecker rule, Simulation simulation, Runnable onOrder) {
        this.onOrder = onOrder;
        this.context = context;
        this.loop = loop;
        this.rule = rule;
        this.simulation = simulation;
    }

    @Override
    public CompletableFuture<Optional<EngineReport>> report(EngineAddress target) {
        return call(target, null).thenApply(answer -> Optional.ofNullable(answer.report()));
    }

    @Override
    public CompletableFuture<OrderResult> order(EngineAddress target, WeightsOrder order) {
        onOrder.run();
        rule.onSent(target.instance(), order, simulation.now());
        return call(target, order).thenApply(answer -> {
            rule.onResult(target.instance(), order, answer.result());
            return answer.result();
        });
    }

    private CompletableFuture<EngineResponse> call(EngineAddress target, WeightsOrder order) {
        long id = context.incarnation() + ++calls;
        CompletableFuture<EngineResponse> result = new CompletableFuture<>();
        open.put(id, result);
        loop.schedule(LIMIT_NANOS, () -> onResponse(new EngineResponse(id, OrderResult.NO_RESPONSE, null)));
        context.send(target.address(), new EngineRequest(id, target.instance(), order));
        return result;
    }

    void onResponse(EngineResponse answer) {
        CompletableFuture<EngineResponse> waiting = open.remove(answer.id());
        if (waiting != null) {
            waiting.complete(answer);
        }
    }
}
