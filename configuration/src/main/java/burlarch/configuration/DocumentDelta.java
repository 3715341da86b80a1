package burlarch.configuration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.zip.DataFormatException;

/**
 * A delta that leads from one document to another, byte for byte: chunks to copy from the base, and new bytes between
 * them, compressed. It holds the digests of both documents, so that it is applied to no other base and never yields
 * another result. A delta from {@link #NO_BASE} holds the complete document.
 *
 * <pre>
 *   offset  bytes  field
 *   0       16     first half of the SHA-256 of the base
 *   16      16     first half of the SHA-256 of the result
 *   32      n      zlib: number of new bytes, new bytes, offset and length of a chunk of the base; repeated
 * </pre>
 *
 * <p>A {@link ConfigurationPatch} in contrast is the operator's change, by names of items; its result must be
 * validated and written anew. A delta knows nothing of JSON.
 */
public final class DocumentDelta {
    /** The base of a delta that holds the complete document. */
    public static final byte[] NO_BASE = {};
    /** The longest document. */
    public static final int MAX_DOCUMENT_BYTES = 8 << 20;

    private static final int DIGEST_BYTES = 16;
    private static final int STEPS_OFFSET = 2 * DIGEST_BYTES;

    private DocumentDelta() {}

    /** Returns the delta from a base to a result. */
    public static byte[] between(byte[] base, byte[] result) {
        ByteArrayOutputStream steps = new ByteArrayOutputStream();
        writeSteps(base, result, new DataOutputStream(steps));
        byte[] compressed = ZlibCompression.compress(steps.toByteArray());
        byte[] delta = Arrays.copyOf(digest(base), STEPS_OFFSET + compressed.length);
        System.arraycopy(digest(result), 0, delta, DIGEST_BYTES, DIGEST_BYTES);
        System.arraycopy(compressed, 0, delta, STEPS_OFFSET, compressed.length);
        return delta;
    }

    /**
     * Returns the result of a delta.
     *
     * @throws DeltaMismatchException if the base is another one, or the result is not the one that was meant
     */
    public static byte[] apply(byte[] base, byte[] delta) throws DeltaMismatchException {
        if (delta.length < STEPS_OFFSET) {
            throw new DeltaMismatchException("a delta of " + delta.length + " bytes", null);
        }
        requireDigest("base", base, delta, 0);
        byte[] result = result(base, delta);
        requireDigest("result", result, delta, DIGEST_BYTES);
        return result;
    }

    private static void requireDigest(String which, byte[] document, byte[] delta, int offset)
            throws DeltaMismatchException {
        if (!Arrays.equals(digest(document), 0, DIGEST_BYTES, delta, offset, offset + DIGEST_BYTES)) {
            throw new DeltaMismatchException("the " + which + " has another digest", null);
        }
    }

    private static byte[] result(byte[] base, byte[] delta) throws DeltaMismatchException {
        ByteArrayOutputStream result = new ByteArrayOutputStream(base.length);
        try {
            byte[] steps = ZlibCompression.decompress(delta, STEPS_OFFSET, 2 * MAX_DOCUMENT_BYTES);
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(steps));
            while (in.available() > 0) {
                copyNewBytes(in, result);
                copyFromBase(in, base, result);
            }
        } catch (IOException | DataFormatException garbled) {
            throw new DeltaMismatchException("a garbled delta: " + garbled.getMessage(), garbled);
        }
        return result.toByteArray();
    }

    private static void copyNewBytes(DataInputStream in, ByteArrayOutputStream result) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException(length + " new bytes");
        }
        result.write(in.readNBytes(length));
    }

    private static void copyFromBase(DataInputStream in, byte[] base, ByteArrayOutputStream result) throws IOException {
        int from = in.readInt();
        int length = in.readInt();
        boolean inside = from >= 0 && length >= 0 && from <= base.length - length;
        if (!inside || result.size() + length > MAX_DOCUMENT_BYTES) {
            throw new IOException("a copy of " + length + " bytes from " + from);
        }
        result.write(base, from, length);
    }

    private static void writeSteps(byte[] base, byte[] result, DataOutputStream out) {
        RollingHashMatcher finder = new RollingHashMatcher(base, result);
        int at = 0;
        try {
            while (at < result.length) {
                RollingHashMatcher.Match match = finder.next(at);
                out.writeInt(match.resultStart() - at);
                out.write(result, at, match.resultStart() - at);
                out.writeInt(match.baseStart());
                out.writeInt(match.length());
                at = match.resultStart() + match.length();
            }
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static byte[] digest(byte[] document) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(document);
            return Arrays.copyOf(digest, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform has SHA-256", e);
        }
    }
}
