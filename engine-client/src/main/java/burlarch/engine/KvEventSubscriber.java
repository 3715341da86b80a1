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
 * Subscriber to the prefix-cache events of a changing set of engines and KV stores. It uses long polling with one call
 * in flight per source. The caller decides which process reads which source. Thread-safe; the map of subscriptions is
 * guarded by {@code this}.
 */
public final class KvEventSubscriber implements AutoCloseable {
    /** How long a source may delay its response while it has no events; a longer wait costs no more. */
    public static final long WAIT_MILLIS = 900;

    private final EngineClient client;
    private final KvUpdateListener listener;
    private final DelayedExecutor delays;
    private final LongSupplier clock;
    private final DoubleSupplier random;
    /** Key: name of the source. */
    private final Map<String, Subscription> subscriptions = new HashMap<>();

    /**
     * Engine or KV store whose events are read.
     *
     * @param name id of the instance, or name of the store's service
     * @param address in the form {@code IP:PORT}
     * @param store whether the source is a KV store rather than an engine
     */
    public record Source(String name, String address, boolean store) {}

    /**
     * Creates a subscriber without sources.
     *
     * @param listener receives the updates, on threads of the client
     * @param clock monotonic clock in nanoseconds
     * @param random random numbers from 0 (inclusive) to 1 (exclusive)
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

    /** Replaces the set of sources; each new source is read from its oldest event. */
    public void subscribe(Collection<Source> sources) {
        subscribe(sources, source -> Optional.empty());
    }

    /**
     * Replaces the set of sources; calls to sources that remain are not interrupted.
     *
     * @param offsets returns the known offset of a new source by its name; empty if its events are read from the
     *     oldest one
     */
    public synchronized void subscribe(Collection<Source> sources, Function<String, Optional<KvOffset>> offsets) {
        Set<Source> newSources = new HashSet<>(sources);
        for (Iterator<Subscription> iterator = subscriptions.values().iterator(); iterator.hasNext(); ) {
            Subscription subscription = iterator.next();
            if (!newSources.remove(subscription.source)) {
                subscription.stopped = true;
                iterator.remove();
            }
        }
        for (Source source : newSources) {
            Subscription subscription = new Subscription(source, offsets.apply(source.name()));
            Subscription replaced = subscriptions.put(source.name(), subscription);
            if (replaced != null) {
                replaced.stopped = true;
            }
            delays.schedule(subscription, 0);
        }
    }

    /** Makes a snapshot of each source due soon, because other readers may have missed earlier updates. */
    public synchronized void requestSnapshotsSoon() {
        for (Subscription subscription : subscriptions.values()) {
            subscription.snapshotRequested = true;
        }
    }

    @Override
    public void close() {
        subscribe(Set.of());
    }

    /**
     * Long-polling loop of one source. Each step begins after the previous one has ended, so only the two volatile
     * flags are shared between threads.
     */
    private final class Subscription implements Runnable, BiConsumer<KvEventsResponse, Throwable> {
        private final Source source;
        private final EngineAddress address;
        private final KvSubscriptionState state;
        private volatile boolean stopped;
        private volatile boolean snapshotRequested;
        private long callStartNanos;
        private boolean snapshotCall;

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
            callStartNanos = clock.getAsLong();
            if (snapshotRequested) {
                snapshotRequested = false;
                state.requestSnapshot(callStartNanos);
            }
            snapshotCall = state.isSnapshotDue(callStartNanos);
            startCall().whenComplete(this);
        }

        private CompletableFuture<KvEventsResponse> startCall() {
            try {
                return snapshotCall ? client.kvList(address) : client.kvEvents(address, state.since(), WAIT_MILLIS);
            } catch (RuntimeException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        /** Handles the end of a call: delivers its update and schedules the next call. */
        @Override
        public void accept(KvEventsResponse response, Throwable failure) {
            if (stopped) {
                return;
            }
            long nowNanos = clock.getAsLong();
            KvEventsResponse responseOrInvalid =
                    response != null ? response : KvEventsResponse.failed(KvEventsResponse.Status.INVALID);
            try {
                deliver(responseOrInvalid, nowNanos);
            } finally {
                long delayNanos = Math.max(0, state.delayNanos(nowNanos));
                delays.schedule(this, TimeUnit.NANOSECONDS.toMillis(delayNanos));
            }
        }

        private void deliver(KvEventsResponse response, long nowNanos) {
            (snapshotCall ? state.onSnapshot(response, nowNanos) : state.onEvents(response, callStartNanos, nowNanos))
                    .ifPresent(listener::onUpdate);
        }
    }
}
