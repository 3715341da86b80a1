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
 * Index of the prompt segments that each source caches. A source is an engine, identified by its instance id, or a
 * store, identified by the name of its service.
 *
 * <p>An entry is <em>confirmed</em> if the source reported it or if the response to a request proves it, and
 * <em>expected</em> if it only follows from a request that was sent to the source. Expected entries expire. After an
 * event was lost, the source is <em>uncertain</em> until its next complete list.
 *
 * <p>Operations on a source that was not added have no effect, and lookups for it find nothing.
 */
public final class PrefixCacheIndex {
    /**
     * Tokens of one block of an engine's KV cache. Engines cache full blocks only, so a shorter remainder is not a
     * miss.
     */
    private static final int BLOCK_TOKENS = 16;
    /** Ticks after which an expected entry that was not confirmed is ignored. */
    private static final int EXPECTED_TICKS = 40;

    private static final long TICK_NANOS = 100_000_000L;
    /** Tokens of a source's capacity for each segment of its table, within the minimum and maximum below. */
    private static final int TOKENS_PER_SEGMENT = 64;

    private static final int MIN_SEGMENTS = 256;
    private static final int MAX_SEGMENTS = 16_384;
    /** Capacity assumed where none is configured. */
    private static final long UNKNOWN_CAPACITY_TOKENS = 100_000;

    private static final class Source {
        private static final long NO_EPOCH = -1;

        final SegmentTable segments;
        long epoch = NO_EPOCH;
        /** Whether events were lost since the last complete list. */
        boolean uncertain;

        Source(long capacityTokens) {
            long segmentCount = capacityTokens / TOKENS_PER_SEGMENT;
            this.segments = new SegmentTable(
                    (int) Math.max(MIN_SEGMENTS, Math.min(MAX_SEGMENTS, segmentCount)), capacityTokens);
        }

        /**
         * Starts a new epoch, if the reported one is new: all entries become invalid. Expected entries from before the
         * first known epoch are kept, because they stem from requests to the run that now reports its epoch.
         */
        void enterEpoch(long reportedEpoch) {
            if (epoch == reportedEpoch) {
                return;
            }
            if (epoch != NO_EPOCH) {
                segments.clear();
                uncertain = false;
            }
            epoch = reportedEpoch;
        }

        int cachedTokens(long key, int maxExpectedTicks, int nowTicks) {
            int cachedTokens = segments.tokens(key);
            boolean expired = cachedTokens > 0
                    && segments.isExpected(key)
                    && nowTicks - segments.lastUsedAt(key) > maxExpectedTicks;
            return expired ? 0 : cachedTokens;
        }
    }

    private final Map<String, Source> sources = new HashMap<>();
    private final ConfirmedKeys confirmedKeys = new ConfirmedKeys();

    /**
     * Adds a source. A source that was added before keeps its entries and its capacity.
     *
     * @param capacityTokens capacity of its cache in tokens, 0 if unknown
     */
    public void addSource(String source, long capacityTokens) {
        if (!sources.containsKey(source)) {
            sources.put(source, new Source(capacityTokens > 0 ? capacityTokens : UNKNOWN_CAPACITY_TOKENS));
        }
    }

    /** Removes all sources except the given ones. */
    public void retainSources(Set<String> retained) {
        sources.keySet().retainAll(retained);
    }

    /**
     * Applies events of a source in their order.
     *
     * @return tokens that are new at the source and not confirmed for any other source: those that it prefilled itself
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

    /**
     * Applies the complete list of a source. Entries that it does not contain are removed, including expected ones.
     */
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
        int nowTicks = toTicks(nowNanos);
        long prefilledTokens = 0;
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
                int tokensBefore = source.segments.isExpected(key) ? 0 : source.segments.tokens(key);
                int addedTokens = Math.max(0, event.tokens() - tokensBefore);
                prefilledTokens += addedTokens == 0 || isCachedElsewhere(source, key) ? 0 : addedTokens;
                source.segments.put(key, event.tokens(), group, nowTicks, false);
                confirmedKeys.add(key);
            } else if (!event.added()) {
                source.segments.remove(key);
            }
        }
        return prefilledTokens;
    }

    private boolean isCachedElsewhere(Source excluded, long key) {
        if (!confirmedKeys.mayContain(key)) {
            return false;
        }
        for (Source source : sources.values()) {
            if (source != excluded && source.segments.tokens(key) > 0 && !source.segments.isExpected(key)) {
                return true;
            }
        }
        return false;
    }

    /** Records that a request with these segments was sent to the source, which is expected to cache them soon. */
    public void expectCached(String source, String salt, List<PromptSegment> segments, long nowNanos) {
        Source knownSource = sources.get(source);
        if (knownSource == null) {
            return;
        }
        long saltHash = CacheSalt.hash(salt);
        short group = CacheSalt.group(salt);
        for (int i = 0; i < segments.size(); i++) {
            PromptSegment segment = segments.get(i);
            if (segment.tokens() > 0) {
                long key = CacheSalt.key(saltHash, segment.id());
                knownSource.segments.put(key, segment.tokens(), group, toTicks(nowNanos), true);
            }
        }
    }

    /** Records that the source has prefilled these segments: their expected entries become confirmed. */
    public void confirm(String source, String salt, List<PromptSegment> segments, long nowNanos) {
        Source knownSource = sources.get(source);
        long saltHash = CacheSalt.hash(salt);
        for (int i = 0; knownSource != null && i < segments.size(); i++) {
            long key = CacheSalt.key(saltHash, segments.get(i).id());
            knownSource.segments.recordUse(key, toTicks(nowNanos), true);
            confirmedKeys.add(key);
        }
    }

    /** Removes the expected entries of a request that the source did not execute. Confirmed entries are kept. */
    public void withdrawExpected(String source, String salt, List<PromptSegment> segments) {
        Source knownSource = sources.get(source);
        long saltHash = CacheSalt.hash(salt);
        for (int i = 0; knownSource != null && i < segments.size(); i++) {
            long key = CacheSalt.key(saltHash, segments.get(i).id());
            if (knownSource.segments.isExpected(key)) {
                knownSource.segments.remove(key);
            }
        }
    }

    /**
     * Removes all entries of the salt's model and weights version, of all tenants, because the source has discarded
     * them.
     */
    public void forgetVersion(String source, String salt) {
        Source knownSource = sources.get(source);
        if (knownSource != null) {
            knownSource.segments.removeGroup(CacheSalt.group(salt));
        }
    }

    /**
     * Returns the tokens of the longest prefix of the segments that the source caches, by confirmed entries and
     * expected entries that have not expired. A partly cached segment counts with its cached tokens and ends the
     * prefix.
     */
    public int cachedPrefixTokens(String source, long saltHash, List<PromptSegment> segments, long nowNanos) {
        return prefixTokens(source, saltHash, segments, EXPECTED_TICKS, nowNanos);
    }

    /** As {@link #cachedPrefixTokens(String, long, List, long)}, by confirmed entries only. */
    public int confirmedPrefixTokens(String source, long saltHash, List<PromptSegment> segments, long nowNanos) {
        return prefixTokens(source, saltHash, segments, -1, nowNanos);
    }

    /** As {@link #cachedPrefixTokens(String, long, List, long)}, for a salt that has not been hashed yet. */
    public int cachedPrefixTokens(String source, String salt, List<PromptSegment> segments, long nowNanos) {
        return cachedPrefixTokens(source, CacheSalt.hash(salt), segments, nowNanos);
    }

    private int prefixTokens(
            String source, long saltHash, List<PromptSegment> segments, int maxExpectedTicks, long nowNanos) {
        Source knownSource = sources.get(source);
        if (knownSource == null || knownSource.segments.size() == 0) {
            return 0;
        }
        int sum = 0;
        for (int i = 0; i < segments.size(); i++) {
            PromptSegment segment = segments.get(i);
            long key = CacheSalt.key(saltHash, segment.id());
            int cachedTokens = knownSource.cachedTokens(key, maxExpectedTicks, toTicks(nowNanos));
            if (cachedTokens + BLOCK_TOKENS <= segment.tokens()) {
                return sum + cachedTokens;
            }
            sum += Math.min(cachedTokens, segment.tokens());
        }
        return sum;
    }

    /** Whether events of the source were lost since its last complete list. */
    public boolean isUncertain(String source) {
        Source knownSource = sources.get(source);
        return knownSource != null && knownSource.uncertain;
    }

    /** Returns the number of segments with an entry for the source. */
    public int size(String source) {
        Source knownSource = sources.get(source);
        return knownSource == null ? 0 : knownSource.segments.size();
    }

    private static int toTicks(long nowNanos) {
        return (int) (nowNanos / TICK_NANOS);
    }
}
