package burlarch.engine;

import burlarch.routing.KvEvents;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * How far the events of one source are known, and what is to be asked next and when. No I/O, no clock, not
 * thread-safe; times are nanoseconds of one monotonic clock.
 */
final class KvSubscriptionState {
    /** Events gather for this long between calls, or a busy source would answer each of them with one. */
    static final long MINIMUM_INTERVAL = TimeUnit.MILLISECONDS.toNanos(250);

    private static final long SHORTEST_PAUSE = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long LONGEST_PAUSE = TimeUnit.SECONDS.toNanos(3);
    private static final long LIMITED_PAUSE = TimeUnit.SECONDS.toNanos(1);
    private static final long LIST_INTERVAL = TimeUnit.SECONDS.toNanos(10);
    private static final long LIST_SPREAD = TimeUnit.MILLISECONDS.toNanos(500);
    private static final double JITTER = 0.5;
    private static final int MOST_DOUBLINGS = 4;

    private final String source;
    private final DoubleSupplier random;
    private boolean met;
    private long epoch;
    private long since;
    /** The {@code since} that goes with what was handed on last. */
    private long handedOn;

    private long notBefore;
    private int failures;
    private boolean listWanted;
    private boolean listed;
    private long listNotBefore;

    /** @param random numbers from 0 (inclusive) to 1 (exclusive) */
    KvSubscriptionState(String source, DoubleSupplier random, long now) {
        this.source = source;
        this.random = random;
        this.notBefore = now;
    }

    /** Goes on from where others have read it, rather than from the oldest event that is left. */
    void goOnFrom(KvOffset position) {
        met = true;
        epoch = position.epoch();
        since = position.next();
        handedOn = since;
    }

    /** The {@code since} of the next call for events. */
    long since() {
        return since;
    }

    /** How long nothing is to be asked, 0 or less where it is time. */
    long pauseNanos(long now) {
        return notBefore - now;
    }

    /** Whether the list is to be asked for next, not events. */
    boolean listDue(long now) {
        return listWanted && now - listNotBefore >= 0;
    }

    /** An answer to a call for events that began at {@code started}: what is to be handed on, or null. */
    KvUpdate onPolled(KvEventsResponse answer, long started, long now) {
        if (answer.status() != KvEventsResponse.Status.OK) {
            onFailure(answer.status(), now);
            return null;
        }
        failures = 0;
        notBefore = started + MINIMUM_INTERVAL;
        boolean sameEpoch = met && answer.epoch() == epoch;
        boolean fromStart = since == 0;
        boolean changed = !sameEpoch;
        met = true;
        epoch = answer.epoch();
        if (changed && !fromStart) {
            since = 0;
            listWanted = false;
            notBefore = now;
            handedOn = 0;
            return new KvUpdate(new KvEvents(source, epoch, false, List.of()), false, 0, 0);
        }
        since = answer.next();
        if (answer.lost()) {
            wantList(now);
        }
        boolean news = changed || answer.lost() || !answer.events().isEmpty();
        if (!news) {
            return null;
        }
        long from = handedOn;
        handedOn = since;
        KvEvents told = new KvEvents(source, epoch, answer.lost(), KvEventCompactor.of(answer.events()));
        return new KvUpdate(told, false, from, since);
    }

    /** An answer to a call for the list: what is to be handed on, or null. */
    KvUpdate onListed(KvEventsResponse answer, long now) {
        listed = true;
        listNotBefore = now + spread(LIST_INTERVAL);
        if (answer.status() != KvEventsResponse.Status.OK) {
            onFailure(answer.status(), now);
            return null;
        }
        failures = 0;
        listWanted = false;
        met = true;
        epoch = answer.epoch();
        since = answer.next();
        handedOn = since;
        notBefore = now;
        return new KvUpdate(new KvEvents(source, epoch, false, answer.events()), true, since, since);
    }

    /** The list is to be asked for soon, as far as the last one is not too young. */
    void wantList(long now) {
        if (listWanted) {
            return;
        }
        listWanted = true;
        long soon = now + (long) (LIST_SPREAD * random.getAsDouble());
        if (!listed || soon - listNotBefore > 0) {
            listNotBefore = soon;
        }
    }

    private void onFailure(KvEventsResponse.Status status, long now) {
        if (status == KvEventsResponse.Status.LIMITED) {
            notBefore = now + spread(LIMITED_PAUSE);
            return;
        }
        if (status == KvEventsResponse.Status.INVALID) {
            wantList(now);
        }
        int doublings = status == KvEventsResponse.Status.MISDIRECTED ? MOST_DOUBLINGS : failures;
        long pause = Math.min(LONGEST_PAUSE, SHORTEST_PAUSE << doublings);
        notBefore = now + Math.min(LONGEST_PAUSE, spread(pause));
        failures = Math.min(MOST_DOUBLINGS, failures + 1);
    }

    /** From three quarters to five quarters of that time. */
    private long spread(long nanos) {
        return (long) (nanos * (1 - JITTER / 2 + JITTER * random.getAsDouble()));
    }
}
