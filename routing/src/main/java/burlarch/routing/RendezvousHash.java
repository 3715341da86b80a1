package burlarch.routing;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Highest random weight hashing: every router gives an instance the same weight for a key. */
public final class RendezvousHash {
    private static final double UNIT = 0x1.0p-53;

    private RendezvousHash() {}

    /** The weight of an instance, by the hash of its id, for a key. Compare as unsigned. */
    public static long weight(long key, long instanceHash) {
        long mixed = key ^ instanceHash;
        mixed = (mixed ^ mixed >>> 33) * 0xFF51AFD7ED558CCDL;
        mixed = (mixed ^ mixed >>> 33) * 0xC4CEB9FE1A85EC53L;
        return mixed ^ mixed >>> 33;
    }

    public static long hash(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    /** A number from 0 up to 1 that depends on nothing but the text. */
    public static double unit(String text) {
        return (hash(text) >>> 11) * UNIT;
    }
}
