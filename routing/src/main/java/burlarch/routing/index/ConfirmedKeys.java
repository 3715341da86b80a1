package burlarch.routing.index;

/**
 * Approximate set of the index keys that some source has confirmed: a table of fixed size in which a newer key
 * displaces an older one in the same slot. Most events are about segments that no other source caches; this set avoids
 * a search through all sources for them.
 */
final class ConfirmedKeys {
    /**
     * Number of slots, a power of two: several times the number of segments that the engines of a large fleet cache.
     */
    private static final int SIZE = 16_384;

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int HASH_SHIFT = Long.SIZE - Integer.numberOfTrailingZeros(SIZE);

    private final long[] keys = new long[SIZE];

    /** Adds a key. */
    void add(long key) {
        keys[slot(key)] = key;
    }

    /**
     * Whether the key was added and has not been displaced. It is also true for a key that a source has removed since,
     * and always for key 0.
     */
    boolean mayContain(long key) {
        return keys[slot(key)] == key;
    }

    private static int slot(long key) {
        return (int) (key * HASH_MULTIPLIER >>> HASH_SHIFT);
    }
}
