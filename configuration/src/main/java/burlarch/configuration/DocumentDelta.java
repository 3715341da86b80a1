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
 * Creates and applies binary deltas between two versions of a document. A delta consists of chunks to copy from the
 * base and new bytes between them, compressed. It contains the digests of both documents, so that it cannot be applied
 * to another base or yield another result. A delta from {@link #NO_BASE} contains the complete document.
 *
 * <pre>
 *   offset  bytes  field
 *   0       16     first half of the SHA-256 of the base
 *   16      16     first half of the SHA-256 of the result
 *   32      rest   zlib, repeated: number of new bytes, new bytes, offset and length of a chunk of the base
 * </pre>
 *
 * <p>A delta works on bytes and does not depend on JSON. A {@link ConfigurationPatch}, in contrast, is a change by the
 * operator that refers to items by name; its result must be validated and written as JSON.
 */
public final class DocumentDelta {
    /** The base of a delta that contains the complete document. */
    public static final byte[] NO_BASE = {};
    /** The largest result of a delta. */
    public static final int MAX_DOCUMENT_BYTES = 8 << 20;

    private static final int DIGEST_BYTES = 16;
    private static final int STEPS_OFFSET = 2 * DIGEST_BYTES;

    private DocumentDelta() {}

    /** Returns the delta that turns a base into a result. */
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
     * Applies a delta to a base and returns the result.
     *
     * @throws DeltaMismatchException if the delta is corrupt, or the base or the result has another digest than it
     *     states
     */
    public static byte[] apply(byte[] base, byte[] delta) throws DeltaMismatchException {
        if (delta.length < STEPS_OFFSET) {
            throw new DeltaMismatchException(
                    "delta is too short: " + delta.length + " bytes, expected at least two digests of 16 bytes", null);
        }
        requireDigest("base", base, delta, 0);
        byte[] result = applySteps(base, delta);
        requireDigest("result", result, delta, DIGEST_BYTES);
        return result;
    }

    private static void requireDigest(String documentName, byte[] document, byte[] delta, int offset)
            throws DeltaMismatchException {
        if (!Arrays.equals(digest(document), 0, DIGEST_BYTES, delta, offset, offset + DIGEST_BYTES)) {
            throw new DeltaMismatchException(
                    "digest of the " + documentName + " differs from the one in the delta", null);
        }
    }

    private static byte[] applySteps(byte[] base, byte[] delta) throws DeltaMismatchException {
        ByteArrayOutputStream result = new ByteArrayOutputStream(base.length);
        try {
            byte[] stepBytes = ZlibCompression.decompress(delta, STEPS_OFFSET, 2 * MAX_DOCUMENT_BYTES);
            DataInputStream stepsInput = new DataInputStream(new ByteArrayInputStream(stepBytes));
            while (stepsInput.available() > 0) {
                copyNewBytes(stepsInput, result);
                copyFromBase(stepsInput, base, result);
            }
        } catch (IOException | DataFormatException e) {
            throw new DeltaMismatchException("delta is corrupt: " + e.getMessage(), e);
        }
        return result.toByteArray();
    }

    private static void copyNewBytes(DataInputStream stepsInput, ByteArrayOutputStream result) throws IOException {
        int length = stepsInput.readInt();
        if (length < 0 || length > stepsInput.available()) {
            throw new IOException(length + " is not a valid number of new bytes");
        }
        result.write(stepsInput.readNBytes(length));
    }

    private static void copyFromBase(DataInputStream stepsInput, byte[] base, ByteArrayOutputStream result)
            throws IOException {
        int baseStart = stepsInput.readInt();
        int length = stepsInput.readInt();
        boolean isInsideBase = baseStart >= 0 && length >= 0 && baseStart <= base.length - length;
        if (!isInsideBase || result.size() + length > MAX_DOCUMENT_BYTES) {
            throw new IOException("invalid chunk of the base: " + length + " bytes from offset " + baseStart);
        }
        result.write(base, baseStart, length);
    }

    private static void writeSteps(byte[] base, byte[] result, DataOutputStream stepsOutput) {
        RollingHashMatcher matcher = new RollingHashMatcher(base, result);
        int position = 0;
        try {
            while (position < result.length) {
                RollingHashMatcher.Match match = matcher.next(position);
                stepsOutput.writeInt(match.resultStart() - position);
                stepsOutput.write(result, position, match.resultStart() - position);
                stepsOutput.writeInt(match.baseStart());
                stepsOutput.writeInt(match.length());
                position = match.resultStart() + match.length();
            }
        } catch (IOException e) {
            // Not expected: the stream writes to memory.
            throw new UncheckedIOException(e);
        }
    }

    private static byte[] digest(byte[] document) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(document);
            return Arrays.copyOf(digest, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError("every Java platform must provide SHA-256", e);
        }
    }
}
