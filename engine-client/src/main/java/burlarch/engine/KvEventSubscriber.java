package burlarch.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Subscribes to the prefix-cache events of a changing set of engines and stores by long polling, with one call
 * in flight for each of them. Which process reads which source is decided elsewhere. Its methods may be called
 * on any thread; the set of subscriptions is guarded by this.
 */
public final class KvEventSubscriber implements AutoCloseable {
    /** How long a source may hold a call; longer waits cost nothing more. */
    public static final long WAIT_MILLIS = 900;

    private final EngineClient client;
    private final KvUpdateListener listener;
    private final DelayedExecutor delays;
    private final LongSupplier clock;
    private final DoubleSupplier random;
    /** By name of the source. */
    private final Map<String, Subscription> subscriptions = new HashMap<>();

    /**
     * An engine or a store.
     *
     * @param name id of the instance, or name of the store's service
     * @param address IP:PORT
     * @param store whether it is a store
     */
    public record Source(String name, String address, boolean store) {}

    /**
     * A subscriber without sources.
     *
     * @param listener is called on threads of the client
     * @param clock nanoseconds of a monotonic clock
     * @param random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public KvEventSubscriber(
            EngineClient client,
            KvUpdateListener listener,
            DelayedExecutor delays,
            LongSupplier clock,
            DoubleSupplier random) {
        this.client = client;
        this.listener = listener;
        this.delays = delays;
        this.clock = clock;
        this.random = random;
    }

    /** Replaces the set of sources; new ones are read from their oldest event. */
    public void subscribe(Collection<Source> sources) {
        subscribe(sources, source -> Optional.empty());
    }

    /**
     * Replaces the set of sources; those that stay are not interrupted.
     *
     * @param offsets up to which offset the source of that name is known; empty if it is unknown
     */
    public synchronized void subscribe(Collection<Source> sources, Function<String, Optional<KvOffset>> offsets) {
        Set<Source> added = new HashSet<>(sources);
        for (Iterator<Subscription> all = subscriptions.values().iterator(); all.hasNext(); ) {
            Subscription subscription = all.next();
            if (!added.remove(subscription.source)) {
                subscription.stopped = true;
                all.remove();
            }
        }
        for (Source source : added) {
            Subscription subscription = new Subscription(source, offsets.apply(source.name()));
            Subscription replaced = subscriptions.put(source.name(), subscription);
            if (replaced != null) {
                replaced.stopped = true;
            }
            delays.schedule(subscription, 0);
        }
    }

    /** Requests a snapshot of each source soon, because others may have missed its earlier updates. */
    public synchronized void requestSnapshotsSoon() {
        for (Subscription subscription : subscriptions.values()) {
            subscription.snapshotRequested = true;
        }
    }

    @Override
    public void close() {
        subscribe(Set.of());
    }

    /** One source. Each step begins after the one before has ended, so only the two flags are shared. */
    private final class Subscription implements Runnable, BiConsumer<KvEventsResponse, Throwable> {
        private final Source source;
        private final EngineAddress address;
        private final KvSubscriptionState state;
        private volatile boolean stopped;
        private volatile boolean snapshotRequested;
        private long startedNanos;
        private boolean callIsForSnapshot;

        Subscription(Source source, Optional<KvOffset> offset) {
            this.source = source;
            this.address = new EngineAddress(source.store() ? null : source.name(), source.address());
            this.state = new KvSubscriptionState(source.name(), random, clock.getAsLong());
            offset.ifPresent(state::continueFrom);
        }

        /** Starts the next call. */
        @Override
        public void run() {
            if (stopped) {
                return;
            }
            startedNanos = clock.getAsLong();
            if (snapshotRequested) {
                snapshotRequested = false;
                state.requestSnapshot(startedNanos);
            }
            callIsForSnapshot = state.isSnapshotDue(startedNanos);
            startCall().whenComplete(this);
        }

        private CompletableFuture<KvEventsResponse> startCall() {
            try {
                return callIsForSnapshot
                        ? client.kvList(address)
                        : client.kvEvents(address, state.since(), WAIT_MILLIS);
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        /** A call has ended: delivers its update and schedules the next call. */
        @Override
        public void accept(KvEventsResponse response, Throwable failure) {
            if (stopped) {
                return;
            }
            long nowNanos = clock.getAsLong();
            KvEventsResponse known =
                    response != null ? response : KvEventsResponse.failed(KvEventsResponse.Status.INVALID);
            try {
                deliver(known, nowNanos);
            } finally {
                long delayNanos = Math.max(0, state.delayNanos(nowNanos));
                delays.schedule(this, TimeUnit.NANOSECONDS.toMillis(delayNanos));
            }
        }

        private void deliver(KvEventsResponse response, long nowNanos) {
            (callIsForSnapshot
                            ? state.onSnapshot(response, nowNanos)
                            : state.onEvents(response, startedNanos, nowNanos))
                    .ifPresent(listener::onUpdate);
        }
    }
}
