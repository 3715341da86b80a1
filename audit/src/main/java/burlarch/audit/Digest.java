package burlarch.audit;

/** FNV-1a, 64 bits: enough to tell two bodies apart, and cheap. */
public final class Digest {
    /** Of no bytes. */
    public static final long EMPTY = 0xcbf29ce484222325L;

    private static final long PRIME = 0x100000001b3L;

    private Digest() {}

    public static long of(byte[] bytes) {
        long digest = EMPTY;
        for (byte next : bytes) {
            digest = append(digest, next);
        }
        return digest;
    }

    /** @return the digest of the bytes that {@code digest} is of, and one more */
    public static long append(long digest, byte next) {
        return (digest ^ next & 0xff) * PRIME;
    }
}
