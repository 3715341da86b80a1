package burlarch.engine;

import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The calls of a rollout of weights. Failures are values of the results: the futures do not fail. */
public interface EngineControlClient {
    /** Requests the engine's report; empty if it gave none. */
    CompletableFuture<Optional<EngineReport>> report(EngineAddress target);

    /** Sends an order once, without a retry. */
    CompletableFuture<OrderResult> order(EngineAddress target, WeightsOrder order);
}
