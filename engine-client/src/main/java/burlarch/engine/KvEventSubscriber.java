package burlarch.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Follows the events of a changing set of engines and stores, with one call under way for each of them.
 * Which process follows which source is decided elsewhere.
 */
public final class KvEventSubscriber implements AutoCloseable {
    /** How long a source may hold a call; longer waits cost nothing more. */
    public static final long WAIT_MILLIS = 900;

    private final EngineClient client;
    private final KvUpdateListener reader;
    private final DelayedExecutor delays;
    private final LongSupplier clock;
    private final DoubleSupplier random;
    private final Map<String, Following> followed = new HashMap<>();

    /**
     * An engine or a store.
     *
     * @param name id of the instance, or name of the store's service
     * @param address IP:PORT
     * @param store whether it is a store
     */
    public record Source(String name, String address, boolean store) {}

    /**
     * @param reader is called on threads of the client's
     * @param clock nanoseconds of a monotonic clock
     * @param random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public KvEventSubscriber(
            EngineClient client,
            KvUpdateListener reader,
            DelayedExecutor delays,
            LongSupplier clock,
            DoubleSupplier random) {
        this.client = client;
        this.reader = reader;
        this.delays = delays;
        this.clock = clock;
        this.random = random;
    }

    /** The whole set of sources from now on, new ones from their oldest event. */
    public void subscribe(Collection<Source> sources) {
        subscribe(sources, source -> null);
    }

    /**
     * The whole set of sources from now on; those that stay are not disturbed.
     *
     * @param positions how far a source's events are known by its name, or null where they are not
     */
    public synchronized void subscribe(Collection<Source> sources, Function<String, KvOffset> positions) {
        Set<Source> wanted = new HashSet<>(sources);
        for (Iterator<Following> all = followed.values().iterator(); all.hasNext(); ) {
            Following following = all.next();
            if (!wanted.remove(following.source)) {
                following.stopped = true;
                all.remove();
            }
        }
        for (Source source : wanted) {
            Following following = new Following(source, positions.apply(source.name()));
            Following replaced = followed.put(source.name(), following);
            if (replaced != null) {
                replaced.stopped = true;
            }
            delays.schedule(following, 0);
        }
    }

    /** Asks each source that is followed for its list soon, because others may lack what it told before. */
    public synchronized void requestSnapshotsSoon() {
        for (Following following : followed.values()) {
            following.listAsked = true;
        }
    }

    @Override
    public void close() {
        subscribe(Set.of());
    }

    /** One source: each step begins once the one before is over, so only the flags are shared. */
    private final class Following implements Runnable, BiConsumer<KvEventsResponse, Throwable> {
        private final Source source;
        private final EngineAddress address;
        private final KvSubscriptionState progress;
        private volatile boolean stopped;
        private volatile boolean listAsked;
        private long started;
        private boolean listing;

        Following(Source source, KvOffset known) {
            this.source = source;
            this.address = new EngineAddress(source.store() ? null : source.name(), source.address());
            this.progress = new KvSubscriptionState(source.name(), random, clock.getAsLong());
            if (known != null) {
                progress.goOnFrom(known);
            }
        }

        @Override
        public void run() {
            if (stopped) {
                return;
            }
            started = clock.getAsLong();
            if (listAsked) {
                listAsked = false;
                progress.wantList(started);
            }
            listing = progress.listDue(started);
            CompletableFuture<KvEventsResponse> call;
            try {
                call = listing ? client.kvList(address) : client.kvEvents(address, progress.since(), WAIT_MILLIS);
            } catch (RuntimeException e) {
                call = CompletableFuture.failedFuture(e);
            }
            call.whenComplete(this);
        }

        @Override
        public void accept(KvEventsResponse answer, Throwable failure) {
            if (stopped) {
                return;
            }
            long now = clock.getAsLong();
            KvEventsResponse known = answer != null ? answer : KvEventsResponse.failed(KvEventsResponse.Status.INVALID);
            try {
                handOn(known, now);
            } finally {
                long pause = Math.max(0, progress.pauseNanos(now));
                delays.schedule(this, TimeUnit.NANOSECONDS.toMillis(pause));
            }
        }

        private void handOn(KvEventsResponse answer, long now) {
            KvUpdate news = listing ? progress.onListed(answer, now) : progress.onPolled(answer, started, now);
            if (news != null) {
                reader.onUpdate(news);
            }
        }
    }
}
