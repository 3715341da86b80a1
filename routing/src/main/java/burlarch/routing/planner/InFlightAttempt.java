package burlarch.routing.planner;

import burlarch.routing.RouteRequest;
import burlarch.routing.instance.Engine;

/** An attempt, from its placement to its end. */
final class InFlightAttempt {
    final Engine engine;
    final ServiceState service;
    /** Weights that the engine was believed to have. */
    final long versionAtSend;
    /** Whether it was offered to the throttle as a fetch, whose outcome teaches the capacity. */
    boolean fetch;
    /** Prompt tokens that the engine reads, and those that it moves in. */
    int tokensToPrefill;

    int tokensToTransfer;
    long transferNanos;
    double memoryTokens;
    long sentNanos;
    /** Whether it tries out an instance in doubt. */
    boolean trial;
    /** Whether nothing of ours was still to be read there when it went out. */
    boolean engineWasIdle;
    /** When silence begins to tell of a queue. */
    long overdueNanos;

    long firstEventNanos;
    boolean hasEnded;
    int ownInFlightAtFirstEvent;
    int ownPrefillingAtFirstEvent;

    InFlightAttempt(Engine engine, ServiceState service, RouteRequest request) {
        this.engine = engine;
        this.service = service;
        this.versionAtSend = engine.version(request.model());
    }

    boolean hasBegun() {
        return firstEventNanos != 0;
    }

    /** Time from sending to first event that the request would have needed with nobody else there. */
    double expectedUncontendedNanos() {
        return engine.speed.baseNanos() + engine.speed.prefillNanos(tokensToPrefill) + transferNanos;
    }
}
