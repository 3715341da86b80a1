package burlarch.controller.state;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * A change of the configuration, as the register remembers it: by it the same call is known again when its
 * answer was lost and it is sent once more.
 *
 * <p>Two calls are the same change where method, {@code If-Match}, version and content are the same. They
 * then lead to the same configuration on top of the same one, so that nobody could tell which of the two was
 * taken. The method counts since one body may be valid as a whole configuration and as a patch, with other
 * results; the base counts since else a call that builds on another version would be acknowledged for this
 * one, beside the change that was taken on that version.
 *
 * @param version that the change brings
 * @param fingerprint the first 64 bits of a SHA-256 of all else: it only has to tell apart changes that bring
 *     one version, and two of those are alike by chance once in 2^64
 */
public record AppliedChange(long version, long fingerprint) {
    private static final String PUT = "PUT";
    private static final String PATCH = "PATCH";

    /**
     * The change that a whole configuration is.
     *
     * @param ifMatch the version that it builds on
     * @param digest of the document's content
     */
    public static AppliedChange put(long ifMatch, long version, String digest) {
        return new AppliedChange(version, fingerprint(PUT, ifMatch, digest));
    }

    /** The change that a patch is. Parameters as for {@link #put}. */
    public static AppliedChange patch(long ifMatch, long version, String digest) {
        return new AppliedChange(version, fingerprint(PATCH, ifMatch, digest));
    }

    private static long fingerprint(String method, long ifMatch, String digest) {
        String text = method + " " + ifMatch + " " + digest;
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform has SHA-256", e);
        }
    }
}
