package burlarch.configuration;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds chunks of a base in a result with the rolling hash of the rsync algorithm. The blocks of the base are indexed
 * by hash, a window of the size of a block slides over the result, and each match is extended in both directions. Time
 * and memory are linear in the lengths of base and result. Not thread-safe, because it keeps state about the last
 * match.
 */
final class RollingHashMatcher {
    private static final int BLOCK_BYTES = 32;
    private static final int MULTIPLIER = 31;
    private static final int FIRST_BYTE_WEIGHT = firstByteWeight();

    private final byte[] base;
    private final byte[] result;
    private final Map<Integer, Integer> blockStartByHash = new HashMap<>();
    /** Start in the base minus start in the result of the last match; the next match often has the same difference. */
    private int lastShift;

    /**
     * A chunk of the base that occurs in the result. A length of 0 at the end of the result means that there is no
     * further match.
     */
    record Match(int baseStart, int resultStart, int length) {}

    RollingHashMatcher(byte[] base, byte[] result) {
        this.base = base;
        this.result = result;
        for (int start = 0; start + BLOCK_BYTES <= base.length; start += BLOCK_BYTES) {
            blockStartByHash.putIfAbsent(hash(base, start), start);
        }
    }

    /** Returns the first match that starts at or after an offset of the result. */
    Match next(int minStart) {
        int lastWindowStart = result.length - BLOCK_BYTES;
        int hash = lastWindowStart < minStart ? 0 : hash(result, minStart);
        for (int position = minStart; position <= lastWindowStart; position++) {
            Match match = matchAt(minStart, position, hash);
            if (match != null) {
                lastShift = match.baseStart() - match.resultStart();
                return match;
            }
            if (position < lastWindowStart) {
                hash = (hash - result[position] * FIRST_BYTE_WEIGHT) * MULTIPLIER + result[position + BLOCK_BYTES];
            }
        }
        return new Match(0, result.length, 0);
    }

    private Match matchAt(int minStart, int position, int hash) {
        int expectedStart = position + lastShift;
        if (isBlockAt(expectedStart, position)) {
            return extend(minStart, position, expectedStart);
        }
        Integer candidateStart = blockStartByHash.get(hash);
        return candidateStart != null && isBlockAt(candidateStart, position)
                ? extend(minStart, position, candidateStart)
                : null;
    }

    private boolean isBlockAt(int baseStart, int position) {
        return baseStart >= 0
                && baseStart + BLOCK_BYTES <= base.length
                && Arrays.equals(base, baseStart, baseStart + BLOCK_BYTES, result, position, position + BLOCK_BYTES);
    }

    private Match extend(int minStart, int position, int baseStart) {
        int lengthBefore = 0;
        while (position - lengthBefore > minStart
                && baseStart - lengthBefore > 0
                && result[position - lengthBefore - 1] == base[baseStart - lengthBefore - 1]) {
            lengthBefore++;
        }
        int lengthAfter = Arrays.mismatch(base, baseStart, base.length, result, position, result.length);
        int length = lengthAfter < 0 ? result.length - position : lengthAfter;
        return new Match(baseStart - lengthBefore, position - lengthBefore, lengthBefore + length);
    }

    private static int hash(byte[] bytes, int start) {
        int hash = 0;
        for (int i = start; i < start + BLOCK_BYTES; i++) {
            hash = hash * MULTIPLIER + bytes[i];
        }
        return hash;
    }

    /** Returns the factor of the first byte of a window in the hash of the window. */
    private static int firstByteWeight() {
        int weight = 1;
        for (int i = 1; i < BLOCK_BYTES; i++) {
            weight *= MULTIPLIER;
        }
        return weight;
    }
}
