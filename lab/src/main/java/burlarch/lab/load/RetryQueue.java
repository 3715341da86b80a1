package burlarch.lab.load;

import burlarch.audit.Rules;
import burlarch.lab.load.LoadStatistics.Outcome;
import burlarch.standins.model.SeededRandom;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Queue of client retries of one event loop. Clients retry once: requests that were refused or unsent, and
 * failed or unanswered ones whose class allows repeats. Confined to its event loop.
 */
final class RetryQueue {
    private static final int DRAW_SALT = 17;
    private static final double MS_PER_S = 1000;
    private static final double NANOS_PER_MS = 1e6;

    private final LoadPlan plan;
    private final RequestSource source;
    private final long startNanos;
    private final PriorityQueue<PlannedRequest> retries =
            new PriorityQueue<>(Comparator.comparingLong(PlannedRequest::dueNanos));
    private boolean stopped;

    /** @param startNanos clock time at which the schedule starts */
    RetryQueue(LoadPlan plan, RequestSource source, long startNanos) {
        this.plan = plan;
        this.source = source;
        this.startNanos = startNanos;
    }

    /**
     * Queues a retry of the request if the client makes one.
     *
     * @return whether a retry was queued
     */
    boolean offer(PendingRequest request, RequestResult result, long nowNanos) {
        PlannedRequest planned = request.planned;
        long retryHash = SeededRandom.mix(Long.parseUnsignedLong(planned.id(), 16) + DRAW_SALT);
        if (stopped
                || planned.attemptIndex() > 0
                || !mayRepeat(planned, result.outcome())
                || SeededRandom.unit(retryHash) >= plan.clients().retryShare()) {
            return false;
        }
        long waitNanos = (long) (waitMs(result.retryAfterS(), retryHash) * NANOS_PER_MS);
        retries.add(source.retry(planned, nowNanos - startNanos + waitNanos));
        return true;
    }

    private boolean mayRepeat(PlannedRequest planned, Outcome outcome) {
        return switch (outcome) {
            case REFUSED, UNSENT -> true;
            case SERVED, LEFT -> false;
            default -> plan.classes().get(planned.requestClass()).repeat().kind() == Rules.Repeat.Kind.PURE;
        };
    }

    /** A fraction of the clients wait as long as Retry-After says; the others wait for the configured backoff. */
    private double waitMs(double retryAfterS, long retryHash) {
        boolean honoursRetryAfter = retryAfterS > 0
                && SeededRandom.unit(SeededRandom.mix(retryHash + 1))
                        < plan.clients().honourShare();
        return honoursRetryAfter ? retryAfterS * MS_PER_S : plan.clients().backoffMs();
    }

    /** Returns the retry that is due first; null if there is none. */
    PlannedRequest peek() {
        return retries.peek();
    }

    PlannedRequest poll() {
        return retries.poll();
    }

    /** Drops queued retries and accepts no more. */
    void stop() {
        stopped = true;
        retries.clear();
    }
}
