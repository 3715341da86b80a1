package burlarch.coordination.rollout;

import burlarch.coordination.registry.Instance.ServedModel;
import java.util.List;

/**
 * A status report of an engine. It describes the engine as it was some hundred milliseconds before the response.
 *
 * @param models the models that it serves, with the loaded versions of weights
 * @param busy whether an order is being executed
 * @param orderSequence number of orders that it has accepted since its start
 * @param queuedRequests number of waiting requests
 * @param runningRequests number of requests in progress
 * @param kvUsedTokens tokens of KV memory in use that cannot be evicted
 * @param kvTotalTokens tokens of KV memory
 */
public record EngineReport(
        List<ServedModel> models,
        boolean busy,
        long orderSequence,
        int queuedRequests,
        int runningRequests,
        long kvUsedTokens,
        long kvTotalTokens) {

    /** Returns the loaded version of the model's weights, 0 if the engine does not serve that model. */
    public long version(String model) {
        for (int i = 0; i < models.size(); i++) {
            if (models.get(i).name().equals(model)) {
                return models.get(i).version();
            }
        }
        return 0;
    }
}
