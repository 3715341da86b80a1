package burlarch.routing.planner;

import burlarch.routing.instance.TrackedInstance;

/** The instance that a scheduler chose for a request. Each scheduler has one object, valid until its next call. */
final class SchedulingChoice {
    private TrackedInstance instance;
    private double predictedNanos;
    private int cachedTokens;
    private boolean cacheMiss;

    /** Sets the instance chosen for a request without a cached prompt. */
    void set(TrackedInstance chosen, double predicted) {
        set(chosen, predicted, 0, false);
    }

    void set(TrackedInstance chosen, double predicted, int cached, boolean isCacheMiss) {
        instance = chosen;
        predictedNanos = predicted;
        cachedTokens = cached;
        cacheMiss = isCacheMiss;
    }

    TrackedInstance instance() {
        return instance;
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
