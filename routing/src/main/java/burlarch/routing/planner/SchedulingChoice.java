package burlarch.routing.planner;

import burlarch.routing.instance.Engine;

/** The instance that a scheduler chose for a request. One object per scheduler, valid until its next call. */
final class SchedulingChoice {
    private Engine engine;
    private double predictedNanos;
    private int cachedTokens;
    private boolean fetch;

    /** Chooses an instance for a request without a cached prompt. */
    void set(Engine chosen, double predicted) {
        set(chosen, predicted, 0, false);
    }

    void set(Engine chosen, double predicted, int cached, boolean isFetch) {
        engine = chosen;
        predictedNanos = predicted;
        cachedTokens = cached;
        fetch = isFetch;
    }

    Engine engine() {
        return engine;
    }

    /** Expected time to the first event. */
    double predictedNanos() {
        return predictedNanos;
    }

    /** Tokens of the prompt that the engine caches. */
    int cachedTokens() {
        return cachedTokens;
    }

    /** Whether the request is a fetch: no engine caches its shared segments. */
    boolean isFetch() {
        return fetch;
    }
}
