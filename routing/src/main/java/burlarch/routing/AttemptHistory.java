package burlarch.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What earlier attempts of a request came to. Only failed attempts are kept, of the latest requests. */
final class AttemptHistory {
    private static final int MOST_REQUESTS = 1024;
    static final Tried NOTHING = new Tried();

    /** Instances that one request was at, and how often it may have run. */
    static final class Tried {
        private final List<String> instances = new ArrayList<>(2);
        private int count;
        private int arrived;
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
        int arrived() {
            return arrived;
        }
    }

    private final Map<String, Tried> byRequest = new LinkedHashMap<>(64) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Tried> eldest) {
            return size() > MOST_REQUESTS;
        }
    };

    Tried of(String request) {
        Tried tried = byRequest.get(request);
        return tried == null ? NOTHING : tried;
    }

    /** The end of an attempt. {@code instance} null: the same one may be tried again. */
    void onEnded(String request, String instance, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.CANCELLED) {
            byRequest.remove(request);
            return;
        }
        Tried tried = byRequest.computeIfAbsent(request, id -> new Tried());
        if (instance != null) {
            tried.instances.add(instance);
        }
        tried.count++;
        tried.arrived += outcome == AttemptOutcome.NOT_CONNECTED ? 0 : 1;
        tried.mayHaveRun += outcome.neverRan() ? 0 : 1;
    }
}
