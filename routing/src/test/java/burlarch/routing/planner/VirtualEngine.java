package burlarch.routing.planner;

import burlarch.coordination.registry.Instance;
import burlarch.routing.CacheSalt;
import burlarch.routing.KvEvents;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.ServerLoad;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Model of an engine in virtual time. It prefills one prompt after another, caches segments in the memory that running
 * requests leave free, evicts the least recently used, and queues requests that do not fit.
 */
final class VirtualEngine {
    static final double TOKENS_PER_NANO = 32.4e-6;
    private static final long BASE_NANOS = 64_000_000L;
    private static final double DECODE_STEP_NANOS = 6.12e6;
    private static final double DECODE_STEP_NANOS_PER_RUNNING = 0.0234e6;
    private static final int MAX_WAITING = 384;

    /** A request at the engine, with callbacks for its first event and its end. */
    record Work(
            RouteRequest request,
            Placement.Send send,
            VirtualEngine source,
            LongConsumer onFirstEvent,
            LongConsumer onEnd) {
        int tokens() {
            return request.promptTokens() + request.maxOutputTokens();
        }
    }

    final Instance instance;
    final int memoryTokens;
    long tokensPrefilled;
    long sharedTokensPrefilled;
    long tokensTransferred;
    private final VirtualFleet fleet;
    private final LinkedHashMap<Long, Integer> cached = new LinkedHashMap<>(64, 0.75f, true);
    private final Deque<Work> waiting = new ArrayDeque<>();
    private int running;
    private int runningTokens;
    private int cachedTokens;
    private long prefillFreeAtNanos;

    VirtualEngine(VirtualFleet fleet, Instance instance, int memoryTokens) {
        this.fleet = fleet;
        this.instance = instance;
        this.memoryTokens = memoryTokens;
    }

    ServerLoad load() {
        return new ServerLoad(running, waiting.size(), instance.capacity());
    }

    /** Queues or starts a request. Returns false if the queue is full. */
    boolean accept(Work work) {
        if (waiting.size() >= MAX_WAITING) {
            return false;
        }
        waiting.add(work);
        startWaiting();
        return true;
    }

    private void startWaiting() {
        while (!waiting.isEmpty()
                && running < instance.capacity()
                && (running == 0 || runningTokens + waiting.peek().tokens() <= memoryTokens)) {
            start(waiting.poll());
        }
    }

    private void start(Work work) {
        long nowNanos = fleet.now();
        running++;
        runningTokens += work.tokens();
        evict(0);
        long saltHash = CacheSalt.hash(work.send().cacheSalt());
        List<PromptSegment> segments = work.request().segments();
        int ownCachedTokens = cachedPrefixTokens(saltHash, segments);
        int transferredTokens = work.source() == null
                ? 0
                : Math.max(0, work.source().cachedPrefixTokens(saltHash, segments) - ownCachedTokens);
        int prefillTokens = work.request().promptTokens() - ownCachedTokens - transferredTokens;
        int sharedTokens = work.request().sharedTokens();
        tokensPrefilled += prefillTokens;
        sharedTokensPrefilled += Math.max(0, sharedTokens - ownCachedTokens - transferredTokens);
        tokensTransferred += transferredTokens;
        long transferNanos = transferredTokens == 0
                ? 0
                : CostModel.transferNanos(
                        transferredTokens, 131_072, fleet.layout().linkMbps(), 2, 1);
        prefillFreeAtNanos = Math.max(nowNanos, prefillFreeAtNanos) + (long) (prefillTokens / TOKENS_PER_NANO);
        long firstEventNanos =
                Math.max(prefillFreeAtNanos, nowNanos + transferNanos + (long) (prefillTokens / TOKENS_PER_NANO))
                        + BASE_NANOS;
        fleet.schedule(
                firstEventNanos - BASE_NANOS,
                () -> addToCache(saltHash, work.send().cacheSalt(), segments));
        fleet.schedule(firstEventNanos, () -> work.onFirstEvent().accept(firstEventNanos));
        double stepNanos = DECODE_STEP_NANOS + DECODE_STEP_NANOS_PER_RUNNING * running;
        fleet.schedule(firstEventNanos + (long) (work.request().maxOutputTokens() * stepNanos), () -> {
            running--;
            runningTokens -= work.tokens();
            work.onEnd().accept(fleet.now());
            startWaiting();
        });
    }

    int cachedPrefixTokens(long saltHash, List<PromptSegment> segments) {
        int sum = 0;
        for (PromptSegment segment : segments) {
            if (cached.get(CacheSalt.key(saltHash, segment.id())) == null) {
                break;
            }
            sum += segment.tokens();
        }
        return sum;
    }

    private void addToCache(long saltHash, String saltText, List<PromptSegment> segments) {
        List<KvEvents.KvEvent> events = new ArrayList<>();
        for (PromptSegment segment : segments) {
            if (cached.put(CacheSalt.key(saltHash, segment.id()), segment.tokens()) == null) {
                cachedTokens += segment.tokens();
                events.add(new KvEvents.KvEvent(true, saltText, segment.id(), segment.tokens(), Fixture.MODEL));
            }
        }
        evict(0);
        if (!events.isEmpty()) {
            fleet.schedule(
                    fleet.now() + fleet.layout().eventsDelayNanos(),
                    () -> fleet.deliver(new KvEvents(instance.id(), 1, false, events)));
        }
    }

    private void evict(int extraTokens) {
        Iterator<Map.Entry<Long, Integer>> leastRecentlyUsed = cached.entrySet().iterator();
        while (cachedTokens + runningTokens / 2 + extraTokens > memoryTokens && leastRecentlyUsed.hasNext()) {
            cachedTokens -= leastRecentlyUsed.next().getValue();
            leastRecentlyUsed.remove();
        }
    }
}
