package burlarch.routing;

/** Where a scheduler would send a request. Valid until its next call. */
final class Choice {
    Engine engine;
    double predictedNanos;
    /** Tokens of the prompt that the engine keeps. */
    int kept;
    /** Whether no engine keeps the shared parts. */
    boolean fetch;
}
