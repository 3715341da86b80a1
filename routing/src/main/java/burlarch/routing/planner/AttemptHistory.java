package burlarch.routing.planner;

import burlarch.routing.AttemptOutcome;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What earlier attempts of a request came to. Only failed attempts are kept, of the latest requests. */
final class AttemptHistory {
    private static final int MAX_REQUESTS = 1024;
    static final PreviousAttempts NONE = new PreviousAttempts();

    /** Instances that one request was at, and how often it may have run. */
    static final class PreviousAttempts {
        private final List<String> instances = new ArrayList<>(2);
        private int count;
        private int possiblyReceived;
        private int mayHaveRun;

        boolean contains(String instance) {
            return instances.contains(instance);
        }

        int mayHaveRun() {
            return mayHaveRun;
        }

        /** Attempts that were sent. */
        int count() {
            return count;
        }

        /** Attempts that an instance may have seen. */
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

    PreviousAttempts of(String request) {
        PreviousAttempts tried = byRequest.get(request);
        return tried == null ? NONE : tried;
    }

    /** The end of an attempt. {@code instance} null: the same one may be tried again. */
    void onEnded(String request, String instance, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.CANCELLED) {
            byRequest.remove(request);
            return;
        }
        PreviousAttempts tried = byRequest.computeIfAbsent(request, id -> new PreviousAttempts());
        if (instance != null) {
            tried.instances.add(instance);
        }
        tried.count++;
        tried.possiblyReceived += outcome == AttemptOutcome.NOT_CONNECTED ? 0 : 1;
        tried.mayHaveRun += outcome.neverRan() ? 0 : 1;
    }
}
