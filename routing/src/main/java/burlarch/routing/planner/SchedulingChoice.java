package burlarch.routing.planner;

import burlarch.routing.instance.Engine;

/** Where a scheduler would send a request. Valid until its next call. */
final class SchedulingChoice {
    Engine engine;
    double predictedNanos;
    /** Tokens of the prompt that the engine keeps. */
    int cachedTokens;
    /** Whether no engine keeps the shared parts. */
    boolean fetch;
}
