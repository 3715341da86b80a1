package burlarch.engine;

import burlarch.routing.KvEvents;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * State of the subscription to one source: up to which offset its events are known, and what is to be
 * requested next and when. No I/O, no clock, not thread-safe; times are nanoseconds of one monotonic clock.
 *
 * <p>A response in a new epoch restarts the subscription at offset 0. Missing events, an unusable response or
 * the request of a caller make a snapshot due; a snapshot is requested at most once in about
 * {@link #SNAPSHOT_INTERVAL_NANOS}. Failures are retried with an exponential backoff with jitter.
 */
final class KvSubscriptionState {
    /** Events gather for this long between calls; otherwise a busy source would respond to each single one. */
    static final long MIN_CALL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long LIMITED_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long SNAPSHOT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long SNAPSHOT_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final double JITTER = 0.5;
    private static final int MAX_DOUBLINGS = 4;

    private final String source;
    private final DoubleSupplier random;
    /** Whether {@code epoch} and {@code since} come from the source or from another reader. */
    private boolean epochKnown;

    private long epoch;
    /** The offset of the next call for events. */
    private long since;
    /** The offset after the update that was delivered last. */
    private long delivered;

    private long nextCallNanos;
    private int failures;
    private boolean snapshotRequested;
    private boolean snapshotTaken;
    /** No snapshot is requested before this time. */
    private long nextSnapshotNanos;

    /** @param random numbers from 0 (inclusive) to 1 (exclusive) */
    KvSubscriptionState(String source, DoubleSupplier random, long nowNanos) {
        this.source = source;
        this.random = random;
        this.nextCallNanos = nowNanos;
    }

    /** Continues after what others have read, rather than from the oldest event of the source. */
    void continueFrom(KvOffset offset) {
        epochKnown = true;
        epoch = offset.epoch();
        since = offset.next();
        delivered = since;
    }

    /** The offset of the next call for events. */
    long since() {
        return since;
    }

    /** How long to wait until the next call; 0 or less if it is due. */
    long delayNanos(long nowNanos) {
        return nextCallNanos - nowNanos;
    }

    /** Whether the next call is for a snapshot rather than for events. */
    boolean isSnapshotDue(long nowNanos) {
        return snapshotRequested && nowNanos - nextSnapshotNanos >= 0;
    }

    /** A call for events that began at {@code startedNanos} has ended. Returns the update to deliver, if any. */
    Optional<KvUpdate> onEvents(KvEventsResponse response, long startedNanos, long nowNanos) {
        if (response.status() != KvEventsResponse.Status.OK) {
            onFailure(response.status(), nowNanos);
            return Optional.empty();
        }
        failures = 0;
        nextCallNanos = startedNanos + MIN_CALL_INTERVAL_NANOS;
        boolean newEpoch = !epochKnown || response.epoch() != epoch;
        boolean fromOldest = since == 0;
        epochKnown = true;
        epoch = response.epoch();
        if (newEpoch && !fromOldest) {
            return Optional.of(restart(nowNanos));
        }
        since = response.next();
        if (response.lost()) {
            requestSnapshot(nowNanos);
        }
        if (!newEpoch && !response.lost() && response.events().isEmpty()) {
            return Optional.empty();
        }
        long from = delivered;
        delivered = since;
        KvEvents events = new KvEvents(source, epoch, response.lost(), KvEventCompactor.compact(response.events()));
        return Optional.of(new KvUpdate(events, false, from, since));
    }

    /** The source has a new epoch, and the call did not ask for its oldest events: read them at once. */
    private KvUpdate restart(long nowNanos) {
        since = 0;
        snapshotRequested = false;
        nextCallNanos = nowNanos;
        delivered = 0;
        return new KvUpdate(new KvEvents(source, epoch, false, List.of()), false, 0, 0);
    }

    /** A call for a snapshot has ended. Returns the update to deliver, if any. */
    Optional<KvUpdate> onSnapshot(KvEventsResponse response, long nowNanos) {
        snapshotTaken = true;
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
        delivered = since;
        nextCallNanos = nowNanos;
        return Optional.of(new KvUpdate(new KvEvents(source, epoch, false, response.events()), true, since, since));
    }

    /** Makes a snapshot due soon, unless the last one is too recent. */
    void requestSnapshot(long nowNanos) {
        if (snapshotRequested) {
            return;
        }
        snapshotRequested = true;
        long soonNanos = nowNanos + (long) (SNAPSHOT_SPREAD_NANOS * random.getAsDouble());
        if (!snapshotTaken || soonNanos - nextSnapshotNanos > 0) {
            nextSnapshotNanos = soonNanos;
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

    /** From three quarters to five quarters of that time. */
    private long withJitter(long nanos) {
        return (long) (nanos * (1 - JITTER / 2 + JITTER * random.getAsDouble()));
    }
}
