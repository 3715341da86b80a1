package burlarch.routing;

/** An attempt, from its placement to its end. */
final class Flight {
    final Engine engine;
    final ServiceState service;
    /** Weights that the engine was believed to have. */
    final long versionThen;
    /** Whether it was offered to the throttle as a fetch, whose outcome teaches the capacity. */
    boolean fetch;
    /** Prompt tokens that the engine reads, and those that it moves in. */
    int tokensToRead;

    int tokensToMove;
    long moveNanos;
    double memoryTokens;
    long sentNanos;
    /** Whether it tries out an instance in doubt. */
    boolean trial;
    /** Whether nothing of ours was still to be read there when it went out. */
    boolean alone;
    /** When silence begins to tell of a queue. */
    long overdueNanos;

    long firstNanos;
    boolean hasEnded;
    int oursAtFirst;
    int unreadAtFirst;

    Flight(Engine engine, ServiceState service, RouteRequest request) {
        this.engine = engine;
        this.service = service;
        this.versionThen = engine.version(request.model());
    }

    boolean hasBegun() {
        return firstNanos != 0;
    }

    /** Time from sending to first event that the request would have needed with nobody else there. */
    double ownNanos() {
        return engine.speed.baseNanos() + engine.speed.readNanos(tokensToRead) + moveNanos;
    }
}
