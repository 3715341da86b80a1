package burlarch.configuration;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds chunks of a base in a result by the algorithm of rsync: blocks of the base are indexed by hash, a window
 * rolls over the result, and each match is extended in both directions. Time and memory are linear in the lengths.
 * Not safe for use by several threads: it remembers the last match.
 */
final class RollingHashMatcher {
    private static final int BLOCK_BYTES = 32;
    private static final int MULTIPLIER = 31;
    private static final int LAST_WEIGHT = lastWeight();

    private final byte[] base;
    private final byte[] result;
    private final Map<Integer, Integer> blocks = new HashMap<>();
    /** Offset of the base relative to the result in the last match; the next one often has the same. */
    private int shift;

    /**
     * A chunk of the base that was found in the result. The length is 0 if there is none up to the end of the result.
     */
    record Match(int baseStart, int resultStart, int length) {}

    RollingHashMatcher(byte[] base, byte[] result) {
        this.base = base;
        this.result = result;
        for (int start = 0; start + BLOCK_BYTES <= base.length; start += BLOCK_BYTES) {
            blocks.putIfAbsent(hash(base, start), start);
        }
    }

    /** Returns the first match at or after an offset of the result. */
    Match next(int from) {
        int last = result.length - BLOCK_BYTES;
        int hash = last < from ? 0 : hash(result, from);
        for (int at = from; at <= last; at++) {
            Match match = matchAt(from, at, hash);
            if (match != null) {
                shift = match.baseStart() - match.resultStart();
                return match;
            }
            if (at < last) {
                hash = (hash - result[at] * LAST_WEIGHT) * MULTIPLIER + result[at + BLOCK_BYTES];
            }
        }
        return new Match(0, result.length, 0);
    }

    private Match matchAt(int from, int at, int hash) {
        int sameShift = at + shift;
        if (isBlockAt(sameShift, at)) {
            return extend(from, at, sameShift);
        }
        Integer known = blocks.get(hash);
        return known != null && isBlockAt(known, at) ? extend(from, at, known) : null;
    }

    private boolean isBlockAt(int baseStart, int at) {
        return baseStart >= 0
                && baseStart + BLOCK_BYTES <= base.length
                && Arrays.equals(base, baseStart, baseStart + BLOCK_BYTES, result, at, at + BLOCK_BYTES);
    }

    private Match extend(int from, int at, int baseAt) {
        int before = 0;
        while (at - before > from && baseAt - before > 0 && result[at - before - 1] == base[baseAt - before - 1]) {
            before++;
        }
        int after = Arrays.mismatch(base, baseAt, base.length, result, at, result.length);
        int length = after < 0 ? result.length - at : after;
        return new Match(baseAt - before, at - before, before + length);
    }

    private static int hash(byte[] bytes, int start) {
        int hash = 0;
        for (int i = start; i < start + BLOCK_BYTES; i++) {
            hash = hash * MULTIPLIER + bytes[i];
        }
        return hash;
    }

    private static int lastWeight() {
        int weight = 1;
        for (int i = 1; i < BLOCK_BYTES; i++) {
            weight *= MULTIPLIER;
        }
        return weight;
    }
}
