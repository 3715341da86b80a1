package burlarch.standins.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The caches that missed for each request: when the ledger answers the request, the first two of them store the
 * value. Bounded: the oldest request is evicted first. Thread-safe: the caches' event loops write, the ledger's reads.
 */
final class PendingMisses {
    private static final int MAX_CACHES_FILLED = 2;
    private static final int MAX_REQUESTS = 50_000;

    private final Map<String, List<RequestProcessor>> cachesByRequest = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<RequestProcessor>> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    /** Adds a cache that missed for a request. */
    synchronized void add(String id, RequestProcessor cache) {
        List<RequestProcessor> caches = cachesByRequest.computeIfAbsent(id, i -> new ArrayList<>(MAX_CACHES_FILLED));
        if (caches.size() < MAX_CACHES_FILLED) {
            caches.add(cache);
        }
    }

    /** Removes and returns the caches that missed for a request. */
    synchronized List<RequestProcessor> take(String id) {
        List<RequestProcessor> caches = cachesByRequest.remove(id);
        return caches == null ? List.of() : caches;
    }
}
