package burlarch.routing.index;

import java.util.Arrays;

/**
 * Hash table of the cached segments of one source, with the number of cached tokens of each. It uses open addressing
 * with linear probing in parallel arrays, so lookups and updates allocate nothing.
 *
 * <p>Two bounds hold after each {@link #put}: on the number of segments, and on the sum of their tokens unless a
 * single segment exceeds it. Entries beyond a bound are evicted by approximate LRU: the least recently used of a
 * sample of entries.
 *
 * <p>Invariant <em>no gap in a probe sequence</em>: every slot from an entry's home slot to its own is occupied.
 * {@link #remove} keeps it by moving later entries back, so no tombstones are needed.
 */
final class SegmentTable {
    private static final int INITIAL_CAPACITY = 16;
    /** Occupied slots that an eviction compares. A sample approximates LRU at a fixed cost. */
    private static final int EVICTION_SAMPLE = 8;

    /** Key 0 marks a free slot. The real key 0 is stored as this value, to which practically no other key is equal. */
    private static final long ZERO_KEY_SUBSTITUTE = 0x5851F42D4C957F2DL;

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final int maxSegments;
    private final long maxTokens;
    private long[] keys = new long[INITIAL_CAPACITY];
    private int[] tokens = new int[INITIAL_CAPACITY];
    private int[] lastUsed = new int[INITIAL_CAPACITY];
    private short[] groups = new short[INITIAL_CAPACITY];
    private boolean[] expected = new boolean[INITIAL_CAPACITY];
    private int size;
    private int evictionCursor;
    private long tokenSum;

    /** Creates an empty table. Bounds below 1 count as 1. */
    SegmentTable(int maxSegments, long maxTokens) {
        this.maxSegments = Math.max(1, maxSegments);
        this.maxTokens = Math.max(1, maxTokens);
    }

    /**
     * Sets the cached tokens of a segment.
     *
     * @param key index key of the segment under its salt
     * @param cachedTokens number of cached tokens, greater than 0
     * @param group number by which {@link #removeGroup} selects segments
     * @param nowTicks time of the use
     * @param onlyExpected whether the entry is not confirmed; a confirmed entry stays confirmed
     */
    void put(long key, int cachedTokens, short group, int nowTicks, boolean onlyExpected) {
        long stored = stored(key);
        int slot = find(stored);
        if (keys[slot] == 0) {
            evictFor(cachedTokens);
            slot = find(stored);
            keys[slot] = stored;
            size++;
            expected[slot] = onlyExpected;
        } else {
            tokenSum -= tokens[slot];
            expected[slot] &= onlyExpected;
        }
        tokens[slot] = cachedTokens;
        lastUsed[slot] = nowTicks;
        groups[slot] = group;
        tokenSum += cachedTokens;
    }

    /** Returns the cached tokens of the segment, 0 if it has no entry. */
    int tokens(long key) {
        return tokens[find(stored(key))];
    }

    /** Whether the segment has an entry that is expected but not confirmed. */
    boolean isExpected(long key) {
        return expected[find(stored(key))];
    }

    /** Returns when the segment was last used; meaningful only if {@link #tokens} is greater than 0. */
    int lastUsedAt(long key) {
        return lastUsed[find(stored(key))];
    }

    /**
     * Records a use of the segment, if it has an entry. If {@code confirms} is true, an expected entry becomes
     * confirmed.
     */
    void recordUse(long key, int nowTicks, boolean confirms) {
        int slot = find(stored(key));
        if (keys[slot] != 0) {
            lastUsed[slot] = nowTicks;
            expected[slot] &= !confirms;
        }
    }

    /** Removes the entry of the segment, if there is one. */
    void remove(long key) {
        int slot = find(stored(key));
        if (keys[slot] != 0) {
            removeAt(slot);
        }
    }

    /** Removes the entries of all segments of the group. */
    void removeGroup(short group) {
        int slot = 0;
        while (slot < keys.length) {
            if (keys[slot] != 0 && groups[slot] == group) {
                // The removal may have moved a later entry into this slot, so look at it again.
                removeAt(slot);
            } else {
                slot++;
            }
        }
    }

    /** Removes all entries. */
    void clear() {
        Arrays.fill(keys, 0);
        Arrays.fill(tokens, 0);
        Arrays.fill(expected, false);
        size = 0;
        tokenSum = 0;
    }

    /** Returns the number of segments with an entry. */
    int size() {
        return size;
    }

    /** Returns the sum of the cached tokens of all segments. */
    long tokenSum() {
        return tokenSum;
    }

    private static long stored(long key) {
        return key == 0 ? ZERO_KEY_SUBSTITUTE : key;
    }

    /** Returns the slot of the key, or the free slot where it would be inserted. */
    private int find(long stored) {
        int mask = keys.length - 1;
        int slot = home(stored);
        while (keys[slot] != 0 && keys[slot] != stored) {
            slot = slot + 1 & mask;
        }
        return slot;
    }

    private int home(long stored) {
        long mixed = stored * HASH_MULTIPLIER;
        return (int) (mixed >>> 40) & keys.length - 1;
    }

    /** Evicts and grows until one more segment with this number of tokens fits. */
    private void evictFor(int moreTokens) {
        while (size > 0 && (size >= maxSegments || tokenSum + moreTokens > maxTokens)) {
            removeAt(oldestNearCursor());
        }
        if ((size + 1) * 3 > keys.length * 2) {
            grow();
        }
    }

    private int oldestNearCursor() {
        int mask = keys.length - 1;
        int oldest = -1;
        for (int sampled = 0, steps = 0; sampled < EVICTION_SAMPLE && steps < keys.length; steps++) {
            evictionCursor = evictionCursor + 1 & mask;
            if (keys[evictionCursor] != 0) {
                sampled++;
                oldest = oldest < 0 || lastUsed[evictionCursor] < lastUsed[oldest] ? evictionCursor : oldest;
            }
        }
        return oldest;
    }

    /**
     * Frees a slot and moves later entries of the same run of occupied slots back into the gap. An entry may be moved
     * if its home slot does not lie cyclically after the gap, so that a search for it still reaches its new slot.
     */
    private void removeAt(int slot) {
        int mask = keys.length - 1;
        tokenSum -= tokens[slot];
        size--;
        int free = slot;
        int next = slot + 1 & mask;
        while (keys[next] != 0) {
            if ((next - home(keys[next]) & mask) >= (next - free & mask)) {
                move(next, free);
                free = next;
            }
            next = next + 1 & mask;
        }
        keys[free] = 0;
        tokens[free] = 0;
        expected[free] = false;
    }

    private void move(int from, int to) {
        keys[to] = keys[from];
        tokens[to] = tokens[from];
        lastUsed[to] = lastUsed[from];
        groups[to] = groups[from];
        expected[to] = expected[from];
    }

    private void grow() {
        long[] oldKeys = keys;
        int[] oldTokens = tokens;
        int[] oldLastUsed = lastUsed;
        short[] oldGroups = groups;
        boolean[] oldExpected = expected;
        int length = keys.length * 2;
        keys = new long[length];
        tokens = new int[length];
        lastUsed = new int[length];
        groups = new short[length];
        expected = new boolean[length];
        for (int i = 0; i < oldKeys.length; i++) {
            if (oldKeys[i] != 0) {
                int slot = find(oldKeys[i]);
                keys[slot] = oldKeys[i];
                tokens[slot] = oldTokens[i];
                lastUsed[slot] = oldLastUsed[i];
                groups[slot] = oldGroups[i];
                expected[slot] = oldExpected[i];
            }
        }
    }
}
