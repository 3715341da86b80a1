package burlarch.emulator.model;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Memory in blocks, used by running requests and by cached prompt segments. Requests take precedence: the least
 * recently used segments are evicted for them, and memory that requests have reserved is never evicted.
 * Invariant: reserved and cached blocks together do not exceed the capacity. The caller holds this object's lock.
 */
public final class KvCache {
    private final int blockTokens;
    private final int blocks;
    private final KvEventLog log;
    private final Map<Key, Entry> segments = new LinkedHashMap<>(16, 0.75f, true);
    private int reservedBlocks;
    private int cachedBlocks;

    private record Key(String salt, String segment) {}

    private record Entry(int tokens, String model) {}

    /** A cached segment, as in the complete list. */
    public record CachedSegment(String salt, String segment, int tokens, String model) {}

    /** Empty memory of so many blocks. */
    public KvCache(int blockTokens, int blocks, KvEventLog log) {
        this.blockTokens = blockTokens;
        this.blocks = blocks;
        this.log = log;
    }

    private int blocksOf(int tokens) {
        return (tokens + blockTokens - 1) / blockTokens;
    }

    /** Tokens of the longest cached prefix; counts as a use of its segments. */
    public int cachedPrefixTokens(String salt, List<PromptSegment> prompt) {
        int tokens = 0;
        for (PromptSegment segment : prompt) {
            Entry found = segments.get(new Key(salt, segment.id()));
            if (found == null || found.tokens() < segment.tokens()) {
                break;
            }
            tokens += segment.tokens();
        }
        return tokens;
    }

    /** Reserves blocks for a running request, and evicts segments for it; false if others have reserved too many. */
    boolean reserve(int neededBlocks) {
        if (reservedBlocks + neededBlocks > blocks) {
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
        Iterator<Map.Entry<Key, Entry>> oldest = segments.entrySet().iterator();
        while (reservedBlocks + cachedBlocks > blocks && oldest.hasNext()) {
            Map.Entry<Key, Entry> entry = oldest.next();
            oldest.remove();
            cachedBlocks -= blocksOf(entry.getValue().tokens());
            log.add(
                    false,
                    entry.getKey().salt(),
                    entry.getKey().segment(),
                    0,
                    entry.getValue().model());
        }
    }

    /** Caches segments that were prefilled or fetched. One that is cached already stays unchanged. */
    public void cache(String salt, List<PromptSegment> prompt, String model) {
        for (PromptSegment segment : prompt) {
            Key key = new Key(salt, segment.id());
            if (segments.get(key) == null && reservedBlocks + blocksOf(segment.tokens()) <= blocks) {
                segments.put(key, new Entry(segment.tokens(), model));
                cachedBlocks += blocksOf(segment.tokens());
                log.add(true, salt, segment.id(), segment.tokens(), model);
                evict();
            }
        }
    }

    /** Evicts all segments of a model. */
    public void evictModel(String model) {
        Iterator<Map.Entry<Key, Entry>> all = segments.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Key, Entry> entry = all.next();
            if (entry.getValue().model().equals(model)) {
                all.remove();
                cachedBlocks -= blocksOf(entry.getValue().tokens());
                log.add(false, entry.getKey().salt(), entry.getKey().segment(), 0, model);
            }
        }
    }

    /** All cached segments, the least recently used first. */
    public List<CachedSegment> cachedSegments() {
        List<CachedSegment> list = new ArrayList<>(segments.size());
        segments.forEach(
                (key, value) -> list.add(new CachedSegment(key.salt(), key.segment(), value.tokens(), value.model())));
        return list;
    }

    /** Tokens of reserved blocks. */
    public int usedTokens() {
        return reservedBlocks * blockTokens;
    }

    /** Capacity in tokens. */
    public int totalTokens() {
        return blocks * blockTokens;
    }

    /** Its events. */
    public KvEventLog log() {
        return log;
    }
}
