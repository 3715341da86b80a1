package burlarch.routing;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous (highest random weight) hashing: every router computes the same weight of an instance for a key,
 * so that routers agree on an instance without exchanging messages.
 */
public final class RendezvousHash {
    private static final double UNIT = 0x1.0p-53;

    private RendezvousHash() {}

    /** The weight of an instance, given by the {@link #hash} of its id, for a key; to be compared as unsigned. */
    public static long weight(long key, long instanceHash) {
        long mixed = key ^ instanceHash;
        mixed = (mixed ^ mixed >>> 33) * 0xFF51AFD7ED558CCDL;
        mixed = (mixed ^ mixed >>> 33) * 0xC4CEB9FE1A85EC53L;
        return mixed ^ mixed >>> 33;
    }

    /** 64 bits of the text's hash. */
    public static long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    /** A pseudo-random number in [0, 1) that depends on the text alone. */
    public static double unit(String text) {
        return (hash(text) >>> 11) * UNIT;
    }
}
