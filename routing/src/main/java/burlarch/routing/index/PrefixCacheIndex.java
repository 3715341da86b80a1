package burlarch.routing.index;

import burlarch.routing.CacheSalt;
import burlarch.routing.KvEvents;
import burlarch.routing.KvEvents.KvEvent;
import burlarch.routing.RouteRequest.PromptSegment;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which source caches which prompt segments. A source is an engine, named by its instance id, or a store,
 * named by its service.
 *
 * <p>An entry is <em>confirmed</em> if the source reported it or a request that the source answered proves it,
 * and <em>expected</em> if it only follows from a request that was sent there. Expected entries expire.
 * After an event was lost the source is <em>uncertain</em> until its next complete list.
 *
 * <p>Operations on a source that was not added have no effect, and lookups find nothing.
 */
public final class PrefixCacheIndex {
    /** Tokens of one block of an engine's KV cache. Engines cache full blocks only, so a shorter tail never misses. */
    private static final int BLOCK_TOKENS = 16;
    /** After how many ticks an expected entry that was not confirmed is ignored. */
    private static final int EXPECTED_TICKS = 40;

    private static final long TICK_NANOS = 100_000_000L;
    /** A table holds one segment for each so many tokens of its source's capacity, within the two bounds. */
    private static final int TOKENS_PER_SEGMENT = 64;

    private static final int MIN_SEGMENTS = 256;
    private static final int MAX_SEGMENTS = 16_384;
    /** Assumed where the configuration does not state the capacity. */
    private static final long UNKNOWN_CAPACITY_TOKENS = 100_000;

    private static final class Source {
        private static final long NO_EPOCH = -1;

        final SegmentTable segments;
        long epoch = NO_EPOCH;
        /** Whether events were lost since the last complete list. */
        boolean uncertain;

        Source(long capacityTokens) {
            long count = capacityTokens / TOKENS_PER_SEGMENT;
            this.segments =
                    new SegmentTable((int) Math.max(MIN_SEGMENTS, Math.min(MAX_SEGMENTS, count)), capacityTokens);
        }

        /**
         * A new epoch invalidates what is known of the source. Expected entries from before its first event
         * stay: they stem from requests to the run that now reports its epoch.
         */
        void enterEpoch(long reported) {
            if (epoch == reported) {
                return;
            }
            if (epoch != NO_EPOCH) {
                segments.clear();
                uncertain = false;
            }
            epoch = reported;
        }

        int cachedTokens(long key, int maxExpectedTicks, int nowTicks) {
            int cached = segments.tokens(key);
            boolean expired =
                    cached > 0 && segments.isExpected(key) && nowTicks - segments.lastUsedAt(key) > maxExpectedTicks;
            return expired ? 0 : cached;
        }
    }

    private final Map<String, Source> sources = new HashMap<>();
    private final ConfirmedKeys confirmedKeys = new ConfirmedKeys();

    /**
     * Adds a source; one that was added before keeps its entries and its capacity.
     *
     * @param capacityTokens of its cache, 0 if unknown
     */
    public void addSource(String source, long capacityTokens) {
        if (!sources.containsKey(source)) {
            sources.put(source, new Source(capacityTokens > 0 ? capacityTokens : UNKNOWN_CAPACITY_TOKENS));
        }
    }

    /** Removes all sources but these. */
    public void retainSources(Set<String> known) {
        sources.keySet().retainAll(known);
    }

    /**
     * Applies events of a source, in their order.
     *
     * @return tokens that are new to the source and confirmed for no other one: what it has prefilled itself
     *     rather than fetched
     */
    public long onEvents(KvEvents events, long nowNanos) {
        Source source = sources.get(events.source());
        if (source == null) {
            return 0;
        }
        source.enterEpoch(events.epoch());
        source.uncertain |= events.lost();
        return apply(source, events.events(), nowNanos);
    }

    /** Applies the complete list of a source: entries that it does not name are removed, expected ones too. */
    public void onFullList(KvEvents list, long nowNanos) {
        Source source = sources.get(list.source());
        if (source == null) {
            return;
        }
        source.epoch = list.epoch();
        source.uncertain = false;
        source.segments.clear();
        apply(source, list.events(), nowNanos);
    }

    private long apply(Source source, List<KvEvent> events, long nowNanos) {
        int nowTicks = ticks(nowNanos);
        long prefilled = 0;
        String salt = null;
        long saltHash = 0;
        short group = 0;
        for (int i = 0; i < events.size(); i++) {
            KvEvent event = events.get(i);
            String eventSalt = event.salt() == null ? "" : event.salt();
            if (!eventSalt.equals(salt)) {
                salt = eventSalt;
                saltHash = CacheSalt.hash(salt);
                group = CacheSalt.group(salt);
            }
            long key = CacheSalt.key(saltHash, event.segment());
            if (event.tokens() > 0) {
                int before = source.segments.isExpected(key) ? 0 : source.segments.tokens(key);
                int added = Math.max(0, event.tokens() - before);
                prefilled += added == 0 || isCachedElsewhere(source, key) ? 0 : added;
                source.segments.put(key, event.tokens(), group, nowTicks, false);
                confirmedKeys.add(key);
            } else if (!event.added()) {
                source.segments.remove(key);
            }
        }
        return prefilled;
    }

    private boolean isCachedElsewhere(Source except, long key) {
        if (!confirmedKeys.mayContain(key)) {
            return false;
        }
        for (Source source : sources.values()) {
            if (source != except && source.segments.tokens(key) > 0 && !source.segments.isExpected(key)) {
                return true;
            }
        }
        return false;
    }

    /** A request with these segments was sent to the source, which is expected to cache them soon. */
    public void expectCached(String source, String salt, List<PromptSegment> segments, long nowNanos) {
        Source known = sources.get(source);
        if (known == null) {
            return;
        }
        long saltHash = CacheSalt.hash(salt);
        short group = CacheSalt.group(salt);
        for (int i = 0; i < segments.size(); i++) {
            PromptSegment segment = segments.get(i);
            if (segment.tokens() > 0) {
                long key = CacheSalt.key(saltHash, segment.id());
                known.segments.put(key, segment.tokens(), group, ticks(nowNanos), true);
            }
        }
    }

    /** The source has prefilled these segments: expected entries of them become confirmed. */
    public void confirm(String source, String salt, List<PromptSegment> segments, long nowNanos) {
        Source known = sources.get(source);
        long saltHash = CacheSalt.hash(salt);
        for (int i = 0; known != null && i < segments.size(); i++) {
            long key = CacheSalt.key(saltHash, segments.get(i).id());
            known.segments.recordUse(key, ticks(nowNanos), true);
            confirmedKeys.add(key);
        }
    }

    /** A request to the source was not executed: its expected entries that nothing confirmed are removed. */
    public void withdrawExpected(String source, String salt, List<PromptSegment> segments) {
        Source known = sources.get(source);
        long saltHash = CacheSalt.hash(salt);
        for (int i = 0; known != null && i < segments.size(); i++) {
            long key = CacheSalt.key(saltHash, segments.get(i).id());
            if (known.segments.isExpected(key)) {
                known.segments.remove(key);
            }
        }
    }

    /** The source has discarded all entries of the salt's model and weights version, of all tenants. */
    public void forgetVersion(String source, String salt) {
        Source known = sources.get(source);
        if (known != null) {
            known.segments.removeGroup(CacheSalt.group(salt));
        }
    }

    /**
     * Tokens of the longest prefix of the segments that the source caches, by confirmed and unexpired expected
     * entries. A segment of which only the beginning is cached adds that and ends the prefix.
     */
    public int cachedPrefixTokens(String source, long saltHash, List<PromptSegment> segments, long nowNanos) {
        return prefixTokens(source, saltHash, segments, EXPECTED_TICKS, nowNanos);
    }

    /** As {@link #cachedPrefixTokens(String, long, List, long)}, by confirmed entries alone. */
    public int confirmedPrefixTokens(String source, long saltHash, List<PromptSegment> segments, long nowNanos) {
        return prefixTokens(source, saltHash, segments, -1, nowNanos);
    }

    /** As {@link #cachedPrefixTokens(String, long, List, long)}, for a salt that is not hashed yet. */
    public int cachedPrefixTokens(String source, String salt, List<PromptSegment> segments, long nowNanos) {
        return cachedPrefixTokens(source, CacheSalt.hash(salt), segments, nowNanos);
    }

    private int prefixTokens(
            String source, long saltHash, List<PromptSegment> segments, int maxExpectedTicks, long nowNanos) {
        Source known = sources.get(source);
        if (known == null || known.segments.size() == 0) {
            return 0;
        }
        int sum = 0;
        for (int i = 0; i < segments.size(); i++) {
            PromptSegment segment = segments.get(i);
            long key = CacheSalt.key(saltHash, segment.id());
            int cached = known.cachedTokens(key, maxExpectedTicks, ticks(nowNanos));
            if (cached + BLOCK_TOKENS <= segment.tokens()) {
                return sum + cached;
            }
            sum += Math.min(cached, segment.tokens());
        }
        return sum;
    }

    /** Whether events of the source were lost since its last complete list. */
    public boolean isUncertain(String source) {
        Source known = sources.get(source);
        return known != null && known.uncertain;
    }

    /** Number of segments with an entry for the source. */
    public int size(String source) {
        Source known = sources.get(source);
        return known == null ? 0 : known.segments.size();
    }

    private static int ticks(long nowNanos) {
        return (int) (nowNanos / TICK_NANOS);
    }
}
