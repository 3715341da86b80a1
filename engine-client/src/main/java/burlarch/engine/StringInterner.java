package burlarch.engine;

/**
 * Returns the same String for the same characters, so that frequent names are allocated once. A table of fixed
 * size without locks: a race costs at most one more String. May be called on any thread.
 */
final class StringInterner {
    private static final int SLOTS = 256;

    private final String[] slots = new String[SLOTS];

    String intern(char[] characters, int offset, int length) {
        int hash = 0;
        for (int i = offset; i < offset + length; i++) {
            hash = 31 * hash + characters[i];
        }
        int slot = (hash ^ hash >>> 8 ^ hash >>> 16) & SLOTS - 1;
        String known = slots[slot];
        if (known != null && equals(known, characters, offset, length)) {
            return known;
        }
        String created = new String(characters, offset, length);
        slots[slot] = created;
        return created;
    }

    private static boolean equals(String known, char[] characters, int offset, int length) {
        if (known.length() != length) {
            return false;
        }
        for (int i = 0; i < length; i++) {
            if (known.charAt(i) != characters[offset + i]) {
                return false;
            }
        }
        return true;
    }
}
