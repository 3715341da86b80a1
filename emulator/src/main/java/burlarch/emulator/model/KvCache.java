package burlarch.emulator.model;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * KV cache of an emulated engine or store: memory in blocks, shared by running requests and cached prompt segments.
 * Requests take precedence: the least recently used segments are evicted for them, and blocks that requests have
 * reserved are never evicted. Invariant: reserved and cached blocks together do not exceed the capacity. The caller
 * holds the lock of this object.
 */
public final class KvCache {
    private final int blockTokens;
    private final int capacityBlocks;
    private final KvEventLog eventLog;
    private final Map<Key, Entry> segments = new LinkedHashMap<>(16, 0.75f, true);
    private int reservedBlocks;
    private int cachedBlocks;

    private record Key(String salt, String segment) {}

    private record Entry(int tokens, String model) {}

    /** Cached segment as listed by a snapshot. */
    public record CachedSegment(String salt, String segment, int tokens, String model) {}

    /** Creates an empty cache with a capacity of {@code blocks} blocks. */
    public KvCache(int blockTokens, int capacityBlocks, KvEventLog eventLog) {
        this.blockTokens = blockTokens;
        this.capacityBlocks = capacityBlocks;
        this.eventLog = eventLog;
    }

    private int blocksOf(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }

    /** Returns the tokens of the longest cached prefix of a prompt; counts as a use of its segments. */
    public int cachedPrefixTokens(String salt, List<PromptSegment> prompt) {
        int tokens = 0;
        for (PromptSegment segment : prompt) {
            Entry cached = segments.get(new Key(salt, segment.id()));
            if (cached == null || cached.tokens() < segment.tokens()) {
                break;
            }
            tokens += segment.tokens();
        }
        return tokens;
    }

    /** Reserves blocks for a running request, evicting segments as needed; false if too many blocks are reserved. */
    boolean reserve(int neededBlocks) {
        if (reservedBlocks + neededBlocks > capacityBlocks) {
            return false;
        }
        reservedBlocks += neededBlocks;
        evict();
        return true;
    }

    void release(int freedBlocks) {
        reservedBlocks -= freedBlocks;
    }

    private void evict() {
        Iterator<Map.Entry<Key, Entry>> leastRecentlyUsed = segments.entrySet().iterator();
        while (reservedBlocks + cachedBlocks > capacityBlocks && leastRecentlyUsed.hasNext()) {
            Map.Entry<Key, Entry> entry = leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
            cachedBlocks -= blocksOf(entry.getValue().tokens());
            eventLog.add(
                    false,
                    entry.getKey().salt(),
                    entry.getKey().segment(),
                    0,
                    entry.getValue().model());
        }
    }

    /** Caches segments that were prefilled or fetched. A segment that is already cached stays unchanged. */
    public void cache(String salt, List<PromptSegment> prompt, String model) {
        for (PromptSegment segment : prompt) {
            Key key = new Key(salt, segment.id());
            if (segments.get(key) == null && reservedBlocks + blocksOf(segment.tokens()) <= capacityBlocks) {
                segments.put(key, new Entry(segment.tokens(), model));
                cachedBlocks += blocksOf(segment.tokens());
                eventLog.add(true, salt, segment.id(), segment.tokens(), model);
                evict();
            }
        }
    }

    /** Evicts all segments of a model. */
    public void evictModel(String model) {
        Iterator<Map.Entry<Key, Entry>> iterator = segments.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Key, Entry> entry = iterator.next();
            if (entry.getValue().model().equals(model)) {
                iterator.remove();
                cachedBlocks -= blocksOf(entry.getValue().tokens());
                eventLog.add(false, entry.getKey().salt(), entry.getKey().segment(), 0, model);
            }
        }
    }

    /** Returns all cached segments, the least recently used first. */
    public List<CachedSegment> cachedSegments() {
        List<CachedSegment> cachedSegments = new ArrayList<>(segments.size());
        segments.forEach((key, value) ->
                cachedSegments.add(new CachedSegment(key.salt(), key.segment(), value.tokens(), value.model())));
        return cachedSegments;
    }

    /** Returns the number of tokens that the reserved blocks hold. */
    public int usedTokens() {
        return reservedBlocks * blockTokens;
    }

    /** Returns the capacity in tokens. */
    public int totalTokens() {
        return capacityBlocks * blockTokens;
    }

    /** Returns the event log of this cache. */
    public KvEventLog log() {
        return eventLog;
    }
}
