package burlarch.routing.planner;

import burlarch.routing.Placement;
import burlarch.routing.RendezvousHash;
import burlarch.routing.RouteRequest;
import burlarch.routing.admission.FetchAdmission;

/**
 * Makes the refusals of the planner, with their Retry-After.
 *
 * <p>Clients wait for at most a third of the time that they have left, and one that returns too late is of no use;
 * so each estimated wait is bounded by that, from 50 to 2000 ms. Waits depend on the hash of the request id, so
 * that clients that are refused together do not return together.
 */
final class Refusals {
    /** About the interval of announcements: a new instance, or all of them to a new router, is known by then. */
    private static final long NO_INSTANCE_RETRY_MILLIS = 800;
    /** For refusals that a wait does not change. */
    private static final long DEFAULT_RETRY_MILLIS = 150;

    private static final long MIN_RETRY_MILLIS = 50;
    private static final long MAX_RETRY_MILLIS = 2_000;
    /** Half of a time in nanoseconds, in milliseconds. */
    private static final double HALF_NANOS_TO_MILLIS = 0.5e-6;

    private Refusals() {}

    /** No instance of the service can receive the request. */
    static Placement.Refuse withoutInstance(RouteRequest request, String reason, long nowNanos) {
        long waitMillis = (long) (NO_INSTANCE_RETRY_MILLIS * spread(request));
        return new Placement.Refuse(boundedRetryAfterMillis(request, waitMillis, nowNanos), reason);
    }

    /** The first event is expected too late; the queue needs about half of the predicted time to become shorter. */
    static Placement.Refuse busy(RouteRequest request, double predictedNanos, long nowNanos) {
        long waitMillis = (long) (predictedNanos * HALF_NANOS_TO_MILLIS * spread(request));
        return new Placement.Refuse(boundedRetryAfterMillis(request, waitMillis, nowNanos), "too much waits");
    }

    /** The request misses the prefix cache, and its tenant's quota share of fetches is used up. */
    static Placement.Refuse overFetchQuota(RouteRequest request, FetchAdmission admission, long nowNanos) {
        long waitMillis = admission.retryAfterMillis(request);
        return new Placement.Refuse(
                boundedRetryAfterMillis(request, waitMillis, nowNanos), "over the share of fetches");
    }

    /** No further attempt may be made. */
    static Placement.Refuse retry(RetryPolicy.Decision decision) {
        return new Placement.Refuse(DEFAULT_RETRY_MILLIS, decision.reason());
    }

    /** The client no longer waits. */
    static Placement.Refuse deadlinePassed() {
        return new Placement.Refuse(DEFAULT_RETRY_MILLIS, "deadline passed");
    }

    /** From 0.5 to 1.5. */
    private static double spread(RouteRequest request) {
        return 0.5 + RendezvousHash.unit(request.id());
    }

    private static long boundedRetryAfterMillis(RouteRequest request, long waitMillis, long nowNanos) {
        long thirdOfRemainingMillis = (request.deadlineNanos() - nowNanos) / 3_000_000L;
        return Math.max(MIN_RETRY_MILLIS, Math.min(waitMillis, Math.min(MAX_RETRY_MILLIS, thirdOfRemainingMillis)));
    }
}
