package burlarch.coordination.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Which subscribers hold which revision of one stream of updates, and who waits for all of them to hold one.
 * A subscriber that leaves is waited for no longer. Bounded by the subscribers and by {@link #MAX_WAITS}.
 *
 * @param <S> names a subscriber
 */
public final class AcknowledgementTracker<S> {
    /** Waits at the same time; a further one is over at once, with no claim that all hold the revision. */
    public static final int MAX_WAITS = 1_024;

    /** One wait for a revision. */
    public static final class Wait {
        private final long revision;
        private final long deadlineNanos;

        private Wait(long revision, long deadlineNanos) {
            this.revision = revision;
            this.deadlineNanos = deadlineNanos;
        }

        /** The revision that is waited for. */
        public long revision() {
            return revision;
        }
    }

    private final Map<S, Long> acknowledgedRevisions = new HashMap<>();
    private final List<Wait> waits = new ArrayList<>();

    /** A subscriber came; it holds nothing yet. */
    public void subscribe(S subscriber) {
        acknowledgedRevisions.put(subscriber, Long.MIN_VALUE);
    }

    /** A subscriber is gone. Call {@link #takeFinishedWaits} afterwards. */
    public void unsubscribe(S subscriber) {
        acknowledgedRevisions.remove(subscriber);
    }

    /**
     * A subscriber holds that revision; an older one changes nothing. Call {@link #takeFinishedWaits} afterwards.
     */
    public void onAcknowledged(S subscriber, long revision) {
        acknowledgedRevisions.computeIfPresent(subscriber, (key, held) -> Math.max(held, revision));
    }

    /** The newest revision that a subscriber said it holds, if it said anything. */
    public OptionalLong acknowledgedBy(S subscriber) {
        long held = acknowledgedRevisions.getOrDefault(subscriber, Long.MIN_VALUE);
        return held == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(held);
    }

    /** How many subscribers there are. */
    public int size() {
        return acknowledgedRevisions.size();
    }

    /** Those that hold less than the revision. */
    public List<S> laggingBehind(long revision) {
        List<S> behind = new ArrayList<>();
        for (Map.Entry<S, Long> entry : acknowledgedRevisions.entrySet()) {
            if (entry.getValue() < revision) {
                behind.add(entry.getKey());
            }
        }
        return behind;
    }

    /** Whether every subscriber holds the revision. */
    public boolean allAcknowledged(long revision) {
        for (long held : acknowledgedRevisions.values()) {
            if (held < revision) {
                return false;
            }
        }
        return true;
    }

    /** Begins to wait, or nothing if all hold it already or too many wait. */
    public Optional<Wait> await(long revision, long deadlineNanos) {
        if (allAcknowledged(revision) || waits.size() >= MAX_WAITS) {
            return Optional.empty();
        }
        Wait wait = new Wait(revision, deadlineNanos);
        waits.add(wait);
        return Optional.of(wait);
    }

    /** Takes out the waits that are over: all hold the revision, or the deadline has passed. */
    public List<Wait> takeFinishedWaits(long nowNanos) {
        List<Wait> finished = new ArrayList<>();
        for (Iterator<Wait> remaining = waits.iterator(); remaining.hasNext(); ) {
            Wait wait = remaining.next();
            if (nowNanos - wait.deadlineNanos >= 0 || allAcknowledged(wait.revision)) {
                remaining.remove();
                finished.add(wait);
            }
        }
        return finished;
    }
}
