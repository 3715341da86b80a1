package burlarch.routing.planner;

import burlarch.routing.instance.Engine;

/** The instance that a scheduler chose for a request. Each scheduler has one object, valid until its next call. */
final class SchedulingChoice {
    private Engine engine;
    private double predictedNanos;
    private int cachedTokens;
    private boolean cacheMiss;

    /** Sets the instance chosen for a request without a cached prompt. */
    void set(Engine chosen, double predicted) {
        set(chosen, predicted, 0, false);
    }

    void set(Engine chosen, double predicted, int cached, boolean isCacheMiss) {
        engine = chosen;
        predictedNanos = predicted;
        cachedTokens = cached;
        cacheMiss = isCacheMiss;
    }

    Engine engine() {
        return engine;
    }

    /** Returns the expected time to the first event. */
    double predictedNanos() {
        return predictedNanos;
    }

    /** Returns the tokens of the prompt that the engine caches. */
    int cachedTokens() {
        return cachedTokens;
    }

    /** Whether the request is a cache miss: no engine caches its shared segments. */
    boolean isCacheMiss() {
        return cacheMiss;
    }
}
