package burlarch.audit;

/** 64-bit FNV-1a hash of response bodies; a cheap way to tell two bodies apart, not cryptographic. */
public final class Digest {
    /** The digest of an empty body. */
    public static final long EMPTY = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;

    private Digest() {}

    /** Returns the digest of {@code bytes}. */
    public static long of(byte[] bytes) {
        long digest = EMPTY;
        for (byte nextByte : bytes) {
            digest = append(digest, nextByte);
        }
        return digest;
    }

    /** Returns the digest of the bytes that gave {@code digest}, followed by {@code nextByte}. */
    public static long append(long digest, byte nextByte) {
        return (digest ^ nextByte & 0xff) * FNV_PRIME;
    }
}
