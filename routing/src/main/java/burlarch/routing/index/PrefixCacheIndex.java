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
 * Who keeps which parts of prompts, as far as events, lists and own sends tell. A hint, never a promise:
 * events are lost and come late. A source is an engine's instance id or the name of a store's service.
 */
public final class PrefixCacheIndex {
    /** Tokens of one block of an engine's memory: less than that missing at a part's end is not missing. */
    private static final int BLOCK_TOKENS = 16;
    /** How long a guess stands that nobody confirms. */
    private static final int EXPECTED_TICKS = 40;

    private static final long TICK_NANOS = 100_000_000L;
    /** Parts for each so many tokens of a source's memory, within the two bounds. */
    private static final int TOKENS_PER_SEGMENT = 64;

    private static final int MIN_SEGMENTS = 256;
    private static final int MAX_SEGMENTS = 16_384;
    /** What is assumed of a source of which the configuration tells nothing. */
    private static final long UNKNOWN_CAPACITY = 100_000;

    private static final class Source {
        final SegmentTable segments;
        long epoch = -1;
        boolean uncertain;

        Source(long capacityTokens) {
            long parts = capacityTokens / TOKENS_PER_SEGMENT;
            this.segments =
                    new SegmentTable((int) Math.max(MIN_SEGMENTS, Math.min(MAX_SEGMENTS, parts)), capacityTokens);
        }
    }

    private final Map<String, Source> sources = new HashMap<>();

    /** Makes a source known, with room for so many tokens; one that is known already stays as it is. */
    public void addSource(String source, long capacityTokens) {
        if (!sources.containsKey(source)) {
            sources.put(source, new Source(capacityTokens > 0 ? capacityTokens : UNKNOWN_CAPACITY));
        }
    }

    /** Forgets all sources but these. */
    public void retainSources(Set<String> known) {
        sources.keySet().retainAll(known);
    }

    /**
     * Takes in events; those of a source that was not added are dropped.
     *
     * @return tokens that are new to the source and kept nowhere else: those that it has read itself
     */
    public long onEvents(KvEvents events, long nowNanos) {
        Source source = sources.get(events.source());
        if (source == null) {
            return 0;
        }
        enterEpoch(source, events.epoch());
        source.uncertain |= events.lost();
        return apply(source, events.events(), nowNanos);
    }

    /** Takes in the whole of what a source keeps: what it does not name is gone, guesses too. */
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

    private static void enterEpoch(Source source, long epoch) {
        if (source.epoch != epoch) {
            // Guesses made before the first word of a source stand.
            if (source.epoch != -1) {
                source.segments.clear();
                source.uncertain = false;
            }
            source.epoch = epoch;
        }
    }

    private long apply(Source source, List<KvEvent> events, long nowNanos) {
        int now = ticks(nowNanos);
        long read = 0;
        for (int i = 0; i < events.size(); i++) {
            KvEvent event = events.get(i);
            String salt = event.salt() == null ? "" : event.salt();
            long key = CacheSalt.key(CacheSalt.hash(salt), event.segment());
            if (event.tokens() > 0) {
                int before = source.segments.isExpected(key) ? 0 : source.segments.tokens(key);
                int added = Math.max(0, event.tokens() - before);
                read += added == 0 || isCachedElsewhere(source, key) ? 0 : added;
                source.segments.put(key, event.tokens(), CacheSalt.group(salt), now, false);
            } else if (!event.added()) {
                source.segments.remove(key);
            }
        }
        return read;
    }

    private boolean isCachedElsewhere(Source but, long key) {
        for (Source source : sources.values()) {
            if (source != but && source.segments.tokens(key) > 0 && !source.segments.isExpected(key)) {
                return true;
            }
        }
        return false;
    }

    /** A request with these parts went to the source: it will soon keep them, unless told otherwise. */
    public void expectCached(String source, String salt, List<PromptSegment> parts, long nowNanos) {
        Source known = sources.get(source);
        if (known == null) {
            return;
        }
        long saltHash = CacheSalt.hash(salt);
        short group = CacheSalt.group(salt);
        for (int i = 0; i < parts.size(); i++) {
            PromptSegment part = parts.get(i);
            if (part.tokens() > 0) {
                known.segments.put(CacheSalt.key(saltHash, part.id()), part.tokens(), group, ticks(nowNanos), true);
            }
        }
    }

    /** The source has read these parts: guesses about them hold. */
    public void confirm(String source, String salt, List<PromptSegment> parts, long nowNanos) {
        Source known = sources.get(source);
        long saltHash = CacheSalt.hash(salt);
        for (int i = 0; known != null && i < parts.size(); i++) {
            known.segments.recordUse(CacheSalt.key(saltHash, parts.get(i).id()), ticks(nowNanos), true);
        }
    }

    /** A send to the source came to nothing: what was guessed of it, and never confirmed, goes. */
    public void withdrawExpected(String source, String salt, List<PromptSegment> parts) {
        Source known = sources.get(source);
        long saltHash = CacheSalt.hash(salt);
        for (int i = 0; known != null && i < parts.size(); i++) {
            long key = CacheSalt.key(saltHash, parts.get(i).id());
            if (known.segments.isExpected(key)) {
                known.segments.remove(key);
            }
        }
    }

    /** The source has dropped all that it kept under salts of this one's model and weights. */
    public void forgetVersion(String source, String salt) {
        Source known = sources.get(source);
        if (known != null) {
            known.segments.removeGroup(CacheSalt.group(salt));
        }
    }

    /** Tokens of the longest prefix whose parts are all kept; one kept partly counts so far and ends it. */
    public int cachedPrefixTokens(String source, long saltHash, List<PromptSegment> parts, long nowNanos) {
        return prefix(source, saltHash, parts, EXPECTED_TICKS, nowNanos);
    }

    /** The same without what is only guessed. */
    public int confirmedPrefixTokens(String source, long saltHash, List<PromptSegment> parts, long nowNanos) {
        return prefix(source, saltHash, parts, -1, nowNanos);
    }

    private int prefix(String source, long saltHash, List<PromptSegment> parts, int guessTicks, long nowNanos) {
        Source known = sources.get(source);
        if (known == null || known.segments.size() == 0) {
            return 0;
        }
        int sum = 0;
        for (int i = 0; i < parts.size(); i++) {
            PromptSegment part = parts.get(i);
            int kept = cachedTokens(known, CacheSalt.key(saltHash, part.id()), guessTicks, ticks(nowNanos));
            if (kept + BLOCK_TOKENS <= part.tokens()) {
                return sum + kept;
            }
            sum += Math.min(kept, part.tokens());
        }
        return sum;
    }

    /** As the other, for a salt as text. */
    public int cachedPrefixTokens(String source, String salt, List<PromptSegment> parts, long nowNanos) {
        return cachedPrefixTokens(source, CacheSalt.hash(salt), parts, nowNanos);
    }

    private static int cachedTokens(Source source, long key, int guessTicks, int now) {
        int kept = source.segments.tokens(key);
        boolean stale =
                kept > 0 && source.segments.isExpected(key) && now - source.segments.lastUsedAt(key) > guessTicks;
        return stale ? 0 : kept;
    }

    /** Whether events of the source went missing since its last list. */
    public boolean isUncertain(String source) {
        Source known = sources.get(source);
        return known != null && known.uncertain;
    }

    /** How many parts are known of the source. */
    public int size(String source) {
        Source known = sources.get(source);
        return known == null ? 0 : known.segments.size();
    }

    private static int ticks(long nowNanos) {
        return (int) (nowNanos / TICK_NANOS);
    }
}
