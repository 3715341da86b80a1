package burlarch.engine;

/**
 * Gives the same String for the same characters, so that names that come again and again are made once.
 * A fixed table without locks: a race costs at worst one more String.
 */
final class StringInterner {
    private static final int SLOTS = 256;

    private final String[] slots = new String[SLOTS];

    String of(char[] characters, int offset, int length) {
        int hash = 0;
        for (int i = offset; i < offset + length; i++) {
            hash = 31 * hash + characters[i];
        }
        int slot = (hash ^ hash >>> 8 ^ hash >>> 16) & SLOTS - 1;
        String known = slots[slot];
        if (known != null && same(known, characters, offset, length)) {
            return known;
        }
        String made = new String(characters, offset, length);
        slots[slot] = made;
        return made;
    }

    private static boolean same(String known, char[] characters, int offset, int length) {
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
