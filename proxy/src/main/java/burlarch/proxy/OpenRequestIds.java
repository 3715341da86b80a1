package burlarch.proxy;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The client-chosen ids of open requests and of requests that ended within {@link #RETENTION_NANOS}.
 * They detect a second client that sends an id in use: a node would take its request for a further attempt of
 * the first one, which may already have its response. A client's own retry carries a new id.
 */
final class OpenRequestIds {
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int MAX_ENDED_IDS = 8192;
    /** Limit of the ids of ended requests in total: an id is bounded only by the size of a head. */
    private static final int MAX_ENDED_CHARACTERS = 1 << 20;

    private record EndedId(String id, long untilNanos) {}

    private final Set<String> ids = new HashSet<>();
    /** Ids of ended requests, in the order in which the requests ended. */
    private final ArrayDeque<EndedId> ended = new ArrayDeque<>();
    /** Length of the ids of ended requests in total. */
    private int endedCharacters;

    /** Whether a request with this id is open or ended recently. Drops ids whose retention is over. */
    boolean contains(String id, long nowNanos) {
        for (EndedId oldest = ended.peek();
                oldest != null && (nowNanos >= oldest.untilNanos || isFull());
                oldest = ended.peek()) {
            forgetOldest();
        }
        return ids.contains(id);
    }

    private boolean isFull() {
        return ended.size() > MAX_ENDED_IDS || endedCharacters > MAX_ENDED_CHARACTERS;
    }

    private void forgetOldest() {
        String id = ended.poll().id;
        endedCharacters -= id.length();
        ids.remove(id);
    }

    void add(String id) {
        ids.add(id);
    }

    /** Starts the retention of an id, as its request has ended. */
    void closed(String id, long nowNanos) {
        ended.add(new EndedId(id, nowNanos + RETENTION_NANOS));
        endedCharacters += id.length();
    }
}
