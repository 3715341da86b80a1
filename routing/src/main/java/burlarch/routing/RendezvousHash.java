package burlarch.routing;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous (highest random weight) hashing. Every router computes the same weight of an instance for a key, so
 * routers agree on an instance without exchanging messages.
 */
public final class RendezvousHash {
    private static final double UNIFORM_SCALE = 0x1.0p-53;

    private RendezvousHash() {}

    /**
     * Returns the weight of an instance, given by the {@link #hash} of its id, for a key. Weights compare as unsigned
     * numbers.
     */
    public static long weight(long key, long instanceHash) {
        long mixed = key ^ instanceHash;
        mixed = (mixed ^ mixed >>> 33) * 0xFF51AFD7ED558CCDL;
        mixed = (mixed ^ mixed >>> 33) * 0xC4CEB9FE1A85EC53L;
        return mixed ^ mixed >>> 33;
    }

    /** Returns a 64-bit hash of the text. */
    public static long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    /** Returns a pseudo-random number in [0, 1) that depends only on the text. */
    public static double uniform(String text) {
        return (hash(text) >>> 11) * UNIFORM_SCALE;
    }
}
