package burlarch.coordination.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks the revision that each subscriber of a stream has acknowledged, and the waits until all of them have
 * acknowledged a given one.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li><em>Acknowledgements only rise</em>: an acknowledgement of an older revision changes nothing.
 *   <li><em>Bounded waits</em>: a wait ends at its deadline, and does not wait for subscribers that left. There are
 *       at most {@link #MAX_WAITS} waits.
 * </ul>
 *
 * <p>Times are nanoseconds of one monotonic clock. Not thread-safe.
 *
 * @param <S> identifies a subscriber
 */
public final class AcknowledgementTracker<S> {
    /**
     * Largest number of concurrent waits. A further one is not begun; that does not mean that all have acknowledged.
     */
    public static final int MAX_WAITS = 1_024;

    private static final long NOTHING_ACKNOWLEDGED = Long.MIN_VALUE;

    /** A wait until all subscribers have acknowledged a revision. */
    public static final class Wait {
        private final long revision;
        private final long deadlineNanos;

        private Wait(long revision, long deadlineNanos) {
            this.revision = revision;
            this.deadlineNanos = deadlineNanos;
        }

        /** Returns the revision that all subscribers have to acknowledge. */
        public long revision() {
            return revision;
        }
    }

    private final Map<S, Long> acknowledgedRevisions = new HashMap<>();
    private final List<Wait> waits = new ArrayList<>();

    /** Adds a subscriber that has acknowledged nothing yet. */
    public void subscribe(S subscriber) {
        acknowledgedRevisions.put(subscriber, NOTHING_ACKNOWLEDGED);
    }

    /** Removes a subscriber. Call {@link #takeFinishedWaits} afterwards. */
    public void unsubscribe(S subscriber) {
        acknowledgedRevisions.remove(subscriber);
    }

    /**
     * Records that a subscriber acknowledged a revision; an unknown subscriber is ignored. Call
     * {@link #takeFinishedWaits} afterwards.
     */
    public void onAcknowledged(S subscriber, long revision) {
        acknowledgedRevisions.computeIfPresent(subscriber, (key, known) -> Math.max(known, revision));
    }

    /** Returns the newest revision that the subscriber acknowledged, empty if none. */
    public OptionalLong acknowledgedBy(S subscriber) {
        long revision = acknowledgedRevisions.getOrDefault(subscriber, NOTHING_ACKNOWLEDGED);
        return revision == NOTHING_ACKNOWLEDGED ? OptionalLong.empty() : OptionalLong.of(revision);
    }

    /** Returns how many subscribers there are. */
    public int size() {
        return acknowledgedRevisions.size();
    }

    /** Returns the subscribers that have not acknowledged the revision, in no order. */
    public List<S> laggingBehind(long revision) {
        List<S> lagging = new ArrayList<>();
        for (Map.Entry<S, Long> entry : acknowledgedRevisions.entrySet()) {
            if (entry.getValue() < revision) {
                lagging.add(entry.getKey());
            }
        }
        return lagging;
    }

    /** Returns whether every subscriber has acknowledged the revision. */
    public boolean allAcknowledged(long revision) {
        for (long acknowledged : acknowledgedRevisions.values()) {
            if (acknowledged < revision) {
                return false;
            }
        }
        return true;
    }

    /**
     * Begins a wait. Returns empty if all have acknowledged the revision already, or if there are {@link #MAX_WAITS}
     * waits.
     */
    public Optional<Wait> await(long revision, long deadlineNanos) {
        if (allAcknowledged(revision) || waits.size() >= MAX_WAITS) {
            return Optional.empty();
        }
        Wait wait = new Wait(revision, deadlineNanos);
        waits.add(wait);
        return Optional.of(wait);
    }

    /** Removes and returns the finished waits: all have acknowledged the revision, or the deadline has passed. */
    public List<Wait> takeFinishedWaits(long nowNanos) {
        List<Wait> finished = new ArrayList<>();
        Iterator<Wait> remaining = waits.iterator();
        while (remaining.hasNext()) {
            Wait wait = remaining.next();
            if (nowNanos - wait.deadlineNanos >= 0 || allAcknowledged(wait.revision)) {
                remaining.remove();
                finished.add(wait);
            }
        }
        return finished;
    }
}
