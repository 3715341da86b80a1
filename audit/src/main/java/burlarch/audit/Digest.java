package burlarch.audit;

/** FNV-1a, 64 bits: enough to tell two bodies apart, and cheap. */
public final class Digest {
    private static final long BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Digest() {
    }

    public static long of(byte[] bytes) {
        long hash = BASIS;
        for (byte b : bytes) {
            hash = (hash ^ b & 0xff) * PRIME;
        }
        return hash;
    }
}
