package burlarch.engine;

/**
 * Cache of strings that returns an existing String for equal characters, so that frequent names are allocated once.
 * The table has a fixed size and no locks: a collision replaces the entry, and a race costs at most one more String.
 * Thread-safe.
 */
final class StringInterner {
    private static final int SLOT_COUNT = 256;

    private final String[] slots = new String[SLOT_COUNT];

    /** Returns a String with these characters, the cached one if there is one. */
    String intern(char[] characters, int offset, int length) {
        int hash = 0;
        for (int i = offset; i < offset + length; i++) {
            hash = 31 * hash + characters[i];
        }
        int slot = (hash ^ hash >>> 8 ^ hash >>> 16) & SLOT_COUNT - 1;
        String cached = slots[slot];
        if (cached != null && equals(cached, characters, offset, length)) {
            return cached;
        }
        String created = new String(characters, offset, length);
        slots[slot] = created;
        return created;
    }

    private static boolean equals(String cached, char[] characters, int offset, int length) {
        if (cached.length() != length) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            if (cached.charAt(i) != characters[offset + i]) {
                return false;
            }
        }
        return true;
    }
}
