package burlarch.routing.index;

/**
 * The index keys that some source has confirmed, approximately: a table of fixed size in which a newer key displaces an
 * older one of the same slot. Most events are about segments that no other source has, and this spares them the search
 * through all sources.
 */
final class ConfirmedKeys {
    /** Power of two; several times the number of segments that the engines of a large fleet cache together. */
    private static final int SIZE = 16_384;

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int HASH_SHIFT = Long.SIZE - Integer.numberOfTrailingZeros(SIZE);

    private final long[] keys = new long[SIZE];

    /** Adds a key. */
    void add(long key) {
        keys[slot(key)] = key;
    }

    /**
     * Whether the key was added and has not been displaced. True for a key that a source has removed since; key 0
     * always
     * counts as added.
     */
    boolean mayContain(long key) {
        return keys[slot(key)] == key;
    }

    private static int slot(long key) {
        return (int) (key * HASH_MULTIPLIER >>> HASH_SHIFT);
    }
}
