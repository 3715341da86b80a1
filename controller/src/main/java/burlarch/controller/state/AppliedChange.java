package burlarch.controller.state;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identity of a configuration change, by which the register recognizes a call that a client retries because its
 * response was lost.
 *
 * <p>Two calls are the same change if method, {@code If-Match}, version and content are equal. They then lead from the
 * same configuration to the same configuration, so that the two are indistinguishable. The method counts because one
 * body may be valid both as a complete configuration and as a patch, with different results. The base version counts
 * because a call that builds on another version must not be acknowledged for this change.
 *
 * @param version the version that the change creates
 * @param fingerprint the first 64 bits of a SHA-256 over method, base version and digest. It only has to distinguish
 *     changes that create the same version; two of those collide with probability 2^-64
 */
public record AppliedChange(long version, long fingerprint) {
    private static final String PUT = "PUT";
    private static final String PATCH = "PATCH";

    /**
     * The identity of a complete configuration.
     *
     * @param ifMatch the version that the change builds on
     * @param digest of the document's content
     */
    public static AppliedChange put(long ifMatch, long version, String digest) {
        return new AppliedChange(version, fingerprint(PUT, ifMatch, digest));
    }

    /** The identity of a patch. Parameters as for {@link #put}. */
    public static AppliedChange patch(long ifMatch, long version, String digest) {
        return new AppliedChange(version, fingerprint(PATCH, ifMatch, digest));
    }

    private static long fingerprint(String method, long ifMatch, String digest) {
        String input = method + " " + ifMatch + " " + digest;
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(input.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform has SHA-256", e);
        }
    }
}
