package burlarch.routing.planner;

import burlarch.routing.AttemptOutcome;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Outcomes of earlier attempts, by request id. Only requests whose attempts all failed are retained, and only the
 * latest ones, bounded by their number and by the length of their ids, which clients choose.
 */
final class AttemptHistory {
    private static final int MAX_REQUESTS = 1024;
    /** Limit of the length of all retained ids. */
    private static final int MAX_ID_CHARACTERS = 64 * MAX_REQUESTS;

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

    /** In the order in which the first attempts of the requests failed. */
    private final Map<String, PreviousAttempts> byRequest = new LinkedHashMap<>(64);

    private int idCharacters;

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
            remove(request);
            return;
        }
        PreviousAttempts previous = byRequest.computeIfAbsent(request, this::newEntry);
        if (instance != null) {
            previous.instances.add(instance);
        }
        previous.possiblyReceived += outcome == AttemptOutcome.NOT_CONNECTED ? 0 : 1;
        previous.possiblyExecuted += outcome.certainlyNotExecuted() ? 0 : 1;
        while (byRequest.size() > MAX_REQUESTS || idCharacters > MAX_ID_CHARACTERS) {
            remove(byRequest.keySet().iterator().next());
        }
    }

    private PreviousAttempts newEntry(String request) {
        idCharacters += request.length();
        return new PreviousAttempts();
    }

    private void remove(String request) {
        if (byRequest.remove(request) != null) {
            idCharacters -= request.length();
        }
    }

    /** Returns the length of all retained ids. */
    int idCharacters() {
        return idCharacters;
    }
}
