package burlarch.engine;

import burlarch.coordination.rollout.EngineReport;
import burlarch.coordination.rollout.OrderResult;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The calls that bring engines to other weights. Failures are values of the answers: the futures don't fail.
 */
public interface EngineControlClient {
    /** The engine's report, empty where it gave none. */
    CompletableFuture<Optional<EngineReport>> report(EngineAddress target);

    /** Sends an order, once. */
    CompletableFuture<OrderResult> order(EngineAddress target, WeightsOrder order);
}
