package burlarch.engine;

import burlarch.routing.KvEvents;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * State machine of the subscription to one source: the offset up to which its events are known, and the kind and time
 * of the next call. It does no I/O and reads no clock; all times are nanoseconds of one monotonic clock. Not
 * thread-safe.
 *
 * <p>A response in a new epoch restarts the subscription at offset 0. A response that ends before the requested offset
 * of the same epoch belongs to an earlier call, and is unusable. A snapshot becomes due if events were lost, if a
 * response is unusable, or if a caller requests it, and is requested at most once in about
 * {@link #SNAPSHOT_INTERVAL_NANOS}. Failed calls are retried with exponential backoff and jitter.
 */
final class KvSubscriptionState {
    /** Least time between the starts of two calls, so that a busy source returns several events per response. */
    static final long MIN_CALL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long LIMITED_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long SNAPSHOT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long SNAPSHOT_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Width of the range of random factors, as a fraction of the mean. */
    private static final double JITTER = 0.5;

    private static final int MAX_DOUBLINGS = 4;

    private final String source;
    private final DoubleSupplier random;
    /** Whether {@code epoch} and {@code since} are valid, from the source itself or from another reader. */
    private boolean epochKnown;

    private long epoch;
    /** Offset to pass in the next call for events. */
    private long since;
    /** Offset after the update that was delivered last. */
    private long deliveredOffset;

    private long nextCallNanos;
    /** Consecutive failed calls except rate-limited ones, at most {@link #MAX_DOUBLINGS}. */
    private int failures;

    private boolean snapshotRequested;
    private boolean snapshotAttempted;
    /** No snapshot is requested before this time. */
    private long nextSnapshotNanos;

    /** @param random random numbers from 0 (inclusive) to 1 (exclusive) */
    KvSubscriptionState(String source, DoubleSupplier random, long nowNanos) {
        this.source = source;
        this.random = random;
        this.nextCallNanos = nowNanos;
    }

    /** Continues from the offset that another reader reached, rather than from the oldest event of the source. */
    void continueFrom(KvOffset offset) {
        epochKnown = true;
        epoch = offset.epoch();
        since = offset.next();
        deliveredOffset = since;
    }

    /** Returns the offset to pass in the next call for events. */
    long since() {
        return since;
    }

    /** Returns the time until the next call in nanoseconds; 0 or less if it is due. */
    long delayNanos(long nowNanos) {
        return nextCallNanos - nowNanos;
    }

    /** Returns whether the next call must request a snapshot rather than events. */
    boolean isSnapshotDue(long nowNanos) {
        return snapshotRequested && nowNanos - nextSnapshotNanos >= 0;
    }

    /**
     * Handles the end of a call for events; returns the update to deliver, if any.
     *
     * @param callStartNanos when the call began
     */
    Optional<KvUpdate> onEvents(KvEventsResponse response, long callStartNanos, long nowNanos) {
        if (response.status() != KvEventsResponse.Status.OK) {
            onFailure(response.status(), nowNanos);
            return Optional.empty();
        }
        boolean newEpoch = !epochKnown || response.epoch() != epoch;
        if (!newEpoch && response.next() < since) {
            onFailure(KvEventsResponse.Status.INVALID, nowNanos);
            return Optional.empty();
        }
        failures = 0;
        nextCallNanos = callStartNanos + MIN_CALL_INTERVAL_NANOS;
        boolean startedAtOldest = since == 0;
        epochKnown = true;
        epoch = response.epoch();
        if (newEpoch && !startedAtOldest) {
            return Optional.of(restart(nowNanos));
        }
        since = response.next();
        if (response.lost()) {
            requestSnapshot(nowNanos);
        }
        if (!newEpoch && !response.lost() && response.events().isEmpty()) {
            return Optional.empty();
        }
        long previousOffset = deliveredOffset;
        deliveredOffset = since;
        KvEvents events = new KvEvents(source, epoch, response.lost(), KvEventCompactor.compact(response.events()));
        return Optional.of(new KvUpdate(events, false, previousOffset, since));
    }

    /** Restarts at the oldest event, at once: the epoch is new and the call did not start at its oldest event. */
    private KvUpdate restart(long nowNanos) {
        since = 0;
        snapshotRequested = false;
        nextCallNanos = nowNanos;
        deliveredOffset = 0;
        return new KvUpdate(new KvEvents(source, epoch, false, List.of()), false, 0, 0);
    }

    /** Handles the end of a call for a snapshot; returns the update to deliver, if any. */
    Optional<KvUpdate> onSnapshot(KvEventsResponse response, long nowNanos) {
        snapshotAttempted = true;
        nextSnapshotNanos = nowNanos + withJitter(SNAPSHOT_INTERVAL_NANOS);
        if (response.status() != KvEventsResponse.Status.OK) {
            onFailure(response.status(), nowNanos);
            return Optional.empty();
        }
        failures = 0;
        snapshotRequested = false;
        epochKnown = true;
        epoch = response.epoch();
        since = response.next();
        deliveredOffset = since;
        nextCallNanos = nowNanos;
        return Optional.of(new KvUpdate(new KvEvents(source, epoch, false, response.events()), true, since, since));
    }

    /** Makes a snapshot due after a short random delay, or once the interval since the last one has passed if later. */
    void requestSnapshot(long nowNanos) {
        if (snapshotRequested) {
            return;
        }
        snapshotRequested = true;
        long earliestNanos = nowNanos + (long) (SNAPSHOT_SPREAD_NANOS * random.getAsDouble());
        if (!snapshotAttempted || earliestNanos - nextSnapshotNanos > 0) {
            nextSnapshotNanos = earliestNanos;
        }
    }

    private void onFailure(KvEventsResponse.Status status, long nowNanos) {
        if (status == KvEventsResponse.Status.LIMITED) {
            nextCallNanos = nowNanos + withJitter(LIMITED_BACKOFF_NANOS);
            return;
        }
        if (status == KvEventsResponse.Status.INVALID) {
            requestSnapshot(nowNanos);
        }
        int doublings = status == KvEventsResponse.Status.MISDIRECTED ? MAX_DOUBLINGS : failures;
        long backoffNanos = Math.min(MAX_BACKOFF_NANOS, MIN_BACKOFF_NANOS << doublings);
        nextCallNanos = nowNanos + Math.min(MAX_BACKOFF_NANOS, withJitter(backoffNanos));
        failures = Math.min(MAX_DOUBLINGS, failures + 1);
    }

    /** Returns a random time from three quarters to five quarters of {@code nanos}. */
    private long withJitter(long nanos) {
        return (long) (nanos * (1 - JITTER / 2 + JITTER * random.getAsDouble()));
    }
}
