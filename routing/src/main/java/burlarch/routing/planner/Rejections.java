package burlarch.routing.planner;

import burlarch.routing.Placement;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import burlarch.routing.admission.CacheMissAdmission;

/**
 * Creates the rejections of the planner, with their Retry-After.
 *
 * <p>Clients wait for at most a third of the time that they have left, because one that returns too late gains
 * nothing. So each estimated wait is bounded by that, and to 50 to 2000 ms. Waits depend on the hash of the request
 * id, so that clients that are rejected together do not return together.
 */
final class Rejections {
    /** About the announcement interval: a new instance, or all instances at a new router, will be known by then. */
    private static final long NO_INSTANCE_RETRY_MILLIS = 800;
    /** Retry-After of rejections that waiting does not change. */
    private static final long DEFAULT_RETRY_MILLIS = 150;

    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 2_000;
    /** Factor from a time in nanoseconds to half of it in milliseconds. */
    private static final double HALF_NANOS_TO_MILLIS = 0.5e-6;

    private Rejections() {}

    /** Rejects because no instance of the service can receive the request. */
    static Placement.Reject withoutInstance(RouteRequest request, String reason, long nowNanos) {
        long waitMillis = (long) (NO_INSTANCE_RETRY_MILLIS * spread(request));
        return new Placement.Reject(boundedRetryAfterMillis(request, waitMillis, nowNanos), reason);
    }

    /**
     * Rejects because the first event is expected too late, or in favour of more urgent requests. The queue needs
     * about half of the predicted time to become shorter.
     */
    static Placement.Reject overloaded(RouteRequest request, double predictedNanos, long nowNanos) {
        long waitMillis = (long) (predictedNanos * HALF_NANOS_TO_MILLIS * spread(request));
        return new Placement.Reject(boundedRetryAfterMillis(request, waitMillis, nowNanos), "service is overloaded");
    }

    /** Rejects a cache miss because its tenant has used up its quota share of cache misses. */
    static Placement.Reject overCacheMissQuota(RouteRequest request, CacheMissAdmission admission, long nowNanos) {
        long waitMillis = admission.retryAfterMillis(request);
        return new Placement.Reject(boundedRetryAfterMillis(request, waitMillis, nowNanos), "cache miss quota used up");
    }

    /** Rejects a further attempt. */
    static Placement.Reject retryDenied(RetryPolicy.Decision decision) {
        return new Placement.Reject(DEFAULT_RETRY_MILLIS, decision.reason());
    }

    /** Rejects because the client no longer waits. */
    static Placement.Reject deadlinePassed() {
        return new Placement.Reject(DEFAULT_RETRY_MILLIS, "deadline passed");
    }

    /** Returns a factor from 0.5 to 1.5 that depends on the request id. */
    private static double spread(RouteRequest request) {
        return 0.5 + RendezvousHash.uniform(request.id());
    }

    private static long boundedRetryAfterMillis(RouteRequest request, long waitMillis, long nowNanos) {
        long thirdOfRemainingMillis = (request.deadlineNanos() - nowNanos) / 3_000_000L;
        return Math.max(MIN_RETRY_MILLIS, Math.min(waitMillis, Math.min(MAX_RETRY_MILLIS, thirdOfRemainingMillis)));
    }
}
