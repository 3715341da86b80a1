package burlarch.routing.index;

import java.util.Arrays;

/**
 * Parts of prompts with the tokens that are kept of each, in open addressing. Bounded twice: by a number of
 * parts and by the tokens of all together; beyond either the oldest of a few looked at gives way.
 */
public final class SegmentTable {
    private static final int INITIAL_CAPACITY = 16;
    /** Occupied places that an eviction looks at: near enough to the least recently used, at a fixed cost. */
    private static final int EVICTION_SAMPLE = 8;

    private static final long ZERO_KEY_SUBSTITUTE = 0x5851F42D4C957F2DL;

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

    /** Both bounds are at least one. */
    public SegmentTable(int mostParts, long mostTokens) {
        this.maxSegments = Math.max(1, mostParts);
        this.maxTokens = Math.max(1, mostTokens);
    }

    /**
     * Sets what is kept of a part.
     *
     * @param key of the part under its salt
     * @param kept tokens, above 0
     * @param group by which {@link #removeGroup} takes parts away
     * @param now any clock that rises, in units as coarse as wanted
     * @param onlyExpected whether this is a guess that nobody has told yet
     */
    public void put(long key, int kept, short group, int now, boolean onlyExpected) {
        long stored = stored(key);
        int at = find(stored);
        if (keys[at] == 0) {
            evictFor(kept);
            at = find(stored);
            keys[at] = stored;
            size++;
            expected[at] = onlyExpected;
        } else {
            tokenSum -= tokens[at];
            expected[at] &= onlyExpected;
        }
        tokens[at] = kept;
        lastUsed[at] = now;
        groups[at] = group;
        tokenSum += kept;
    }

    /** Tokens kept of the part, 0 if it is not known. */
    public int tokens(long key) {
        return tokens[find(stored(key))];
    }

    /** Whether the part is known only as a guess; false where it is not known. */
    public boolean isExpected(long key) {
        return expected[find(stored(key))];
    }

    /** When the part was last put or touched; meaningful only where {@link #tokens} is above 0. */
    public int lastUsedAt(long key) {
        return lastUsed[find(stored(key))];
    }

    /** Notes a use; a guess is no guess any more if {@code confirms}. */
    public void recordUse(long key, int now, boolean confirms) {
        int at = find(stored(key));
        if (keys[at] != 0) {
            lastUsed[at] = now;
            expected[at] &= !confirms;
        }
    }

    /** Forgets the part. */
    public void remove(long key) {
        int at = find(stored(key));
        if (keys[at] != 0) {
            removeAt(at);
        }
    }

    /** Forgets all parts of the group. */
    public void removeGroup(short group) {
        int at = 0;
        while (at < keys.length) {
            if (keys[at] != 0 && groups[at] == group) {
                // What moves into this place from behind is looked at next.
                removeAt(at);
            } else {
                at++;
            }
        }
    }

    /** Forgets everything. */
    public void clear() {
        Arrays.fill(keys, 0);
        Arrays.fill(tokens, 0);
        Arrays.fill(expected, false);
        size = 0;
        tokenSum = 0;
    }

    /** How many parts are known. */
    public int size() {
        return size;
    }

    /** Tokens of all known parts. */
    public long tokenSum() {
        return tokenSum;
    }

    /** Zero marks a free place, so that key is held as another that hashes hardly meet. */
    private static long stored(long key) {
        return key == 0 ? ZERO_KEY_SUBSTITUTE : key;
    }

    private int find(long stored) {
        int mask = keys.length - 1;
        int at = home(stored);
        while (keys[at] != 0 && keys[at] != stored) {
            at = at + 1 & mask;
        }
        return at;
    }

    private int home(long stored) {
        long mixed = stored * 0x9E3779B97F4A7C15L;
        return (int) (mixed >>> 40) & keys.length - 1;
    }

    private void evictFor(int more) {
        while (size > 0 && (size >= maxSegments || tokenSum + more > maxTokens)) {
            removeAt(oldestNearCursor());
        }
        if ((size + 1) * 3 > keys.length * 2) {
            grow();
        }
    }

    private int oldestNearCursor() {
        int mask = keys.length - 1;
        int best = -1;
        for (int seen = 0, steps = 0; seen < EVICTION_SAMPLE && steps < keys.length; steps++) {
            evictionCursor = evictionCursor + 1 & mask;
            if (keys[evictionCursor] != 0) {
                seen++;
                best = best < 0 || lastUsed[evictionCursor] < lastUsed[best] ? evictionCursor : best;
            }
        }
        return best;
    }

    /** Closes the gap, so that no search ends too early. */
    private void removeAt(int place) {
        int mask = keys.length - 1;
        tokenSum -= tokens[place];
        size--;
        int free = place;
        int at = place + 1 & mask;
        while (keys[at] != 0) {
            if ((at - home(keys[at]) & mask) >= (at - free & mask)) {
                move(at, free);
                free = at;
            }
            at = at + 1 & mask;
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
        int[] oldTouched = lastUsed;
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
                int at = find(oldKeys[i]);
                keys[at] = oldKeys[i];
                tokens[at] = oldTokens[i];
                lastUsed[at] = oldTouched[i];
                groups[at] = oldGroups[i];
                expected[at] = oldExpected[i];
            }
        }
    }
}
