package burlarch.router;

import burlarch.routing.AttemptObserver;
import org.tinylog.Logger;

/**
 * Log of all attempts, with the plan and the outcome of each, for measurements. Disabled unless the system property
 * {@value #PROPERTY} is true, because a line for each attempt costs processor time.
 */
final class AttemptLog implements AttemptObserver {
    /** Name of the system property that enables the log. */
    static final String PROPERTY = "burlarch.attempt.log";

    private static final long NANOS_PER_MILLI = 1_000_000;

    private AttemptLog() {}

    /** Returns the log, or an observer that does nothing if the log is disabled. */
    static AttemptObserver ifEnabled() {
        return Boolean.getBoolean(PROPERTY) ? new AttemptLog() : NONE;
    }

    @Override
    public void onEnded(ObservedAttempt attempt) {
        Logger.info(
                "attempt ended: request={} path={} rank={} instance={} zone={} fetch={} prompt={} shared={} cached={}"
                        + " transferred={} prefill={} own={} wait={} predicted={} sent={} first={} ended={} outcome={}",
                attempt.request().id(),
                attempt.request().route().pathPrefix(),
                attempt.request().rank(),
                attempt.instance(),
                attempt.sameZone() ? "same" : "other",
                attempt.cacheMiss(),
                attempt.request().totalPromptTokens(),
                attempt.request().sharedTokens(),
                attempt.cachedTokens(),
                attempt.transferredTokens(),
                attempt.prefillTokens(),
                attempt.ownRequests(),
                Math.round(attempt.expectedWaitNanos() / NANOS_PER_MILLI),
                attempt.predictedNanos() / NANOS_PER_MILLI,
                attempt.sentNanos() / NANOS_PER_MILLI,
                attempt.firstEventNanos() < 0 ? -1 : attempt.firstEventNanos() / NANOS_PER_MILLI,
                attempt.endedNanos() / NANOS_PER_MILLI,
                attempt.outcome());
    }
}
