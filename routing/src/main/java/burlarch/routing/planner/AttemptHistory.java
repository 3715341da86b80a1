package burlarch.routing.planner;

import burlarch.routing.AttemptOutcome;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Outcomes of earlier attempts, by request id. Only requests whose attempts all failed are retained, and only the
 * latest {@link #MAX_REQUESTS}.
 */
final class AttemptHistory {
    private static final int MAX_REQUESTS = 1024;
    /** Represents a request without retained attempts; compared by identity. */
    static final PreviousAttempts NONE = new PreviousAttempts();

    /** The ended attempts of one request. */
    static final class PreviousAttempts {
        private final List<String> instances = new ArrayList<>(2);
        private int possiblyReceived;
        private int possiblyExecuted;

        /** Whether an attempt failed at the instance, so that further attempts avoid it. */
        boolean contains(String instance) {
            return instances.contains(instance);
        }

        /** Returns the number of attempts that may have executed the request. */
        int possiblyExecuted() {
            return possiblyExecuted;
        }

        /** Returns the number of attempts that may have reached an instance: those with a connection. */
        int possiblyReceived() {
            return possiblyReceived;
        }
    }

    private final Map<String, PreviousAttempts> byRequest = new LinkedHashMap<>(64) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PreviousAttempts> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    /** Returns the earlier attempts of a request, {@link #NONE} if none is retained. */
    PreviousAttempts of(String request) {
        PreviousAttempts previous = byRequest.get(request);
        return previous == null ? NONE : previous;
    }

    /**
     * Records the end of an attempt.
     *
     * @param instance instance that further attempts avoid; null if the same one may be tried again
     */
    void onEnded(String request, String instance, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.CANCELLED) {
            byRequest.remove(request);
            return;
        }
        PreviousAttempts previous = byRequest.computeIfAbsent(request, id -> new PreviousAttempts());
        if (instance != null) {
            previous.instances.add(instance);
        }
        previous.possiblyReceived += outcome == AttemptOutcome.NOT_CONNECTED ? 0 : 1;
        previous.possiblyExecuted += outcome.certainlyNotExecuted() ? 0 : 1;
    }
}
