package burlarch.engine;

import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client for the calls to engines that a rollout of weights needs. A failed call is a value of its result: the futures
 * do not complete exceptionally if an engine fails or does not respond.
 */
public interface EngineControlClient {
    /** Requests the engine's report; empty if no valid report was received. */
    CompletableFuture<Optional<EngineReport>> report(EngineAddress target);

    /** Sends an order to load weights once, without a retry. */
    CompletableFuture<OrderResult> order(EngineAddress target, WeightsOrder order);
}
