package burlarch.coordination.rollout;

import burlarch.coordination.registry.Instance.ServedModel;
import java.util.List;

/**
 * What an engine tells of itself; it stands as of some hundred milliseconds before the answer.
 *
 * @param models with the versions of weights that it has
 * @param busy whether an order is under way
 * @param sequence orders taken since its start
 * @param queued requests that wait
 * @param running requests that run
 * @param kvUsed tokens of memory that can't give way
 * @param kvTotal tokens of memory
 */
public record EngineReport(
        List<ServedModel> models, boolean busy, long sequence, int queued, int running, long kvUsed, long kvTotal) {

    /** The version of the model's weights, 0 where the engine doesn't have that model. */
    public long version(String model) {
        for (int i = 0; i < models.size(); i++) {
            if (models.get(i).name().equals(model)) {
                return models.get(i).version();
            }
        }
        return 0;
    }
}
