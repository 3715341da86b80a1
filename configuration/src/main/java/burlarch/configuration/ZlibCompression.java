package burlarch.configuration;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses byte arrays in the zlib format at its fastest level: a configuration of hundreds of routes shrinks to a
 * tenth for some milliseconds of processor time. Equal bytes give equal compressed bytes.
 */
public final class ZlibCompression {
    private static final int BUFFER_BYTES = 16 << 10;

    private ZlibCompression() {}

    /** Returns the compressed bytes, which {@link #decompress} turns back. */
    public static byte[] compress(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream(BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Returns the bytes that were compressed.
     *
     * @param offset where the compressed bytes begin; they must reach to the end of the array
     * @param maxBytes the largest result, so that corrupt input cannot fill the memory
     * @throws DataFormatException if the input is not the output of {@link #compress}, or the result is too large
     */
    public static byte[] decompress(byte[] compressed, int offset, int maxBytes) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed, offset, compressed.length - offset);
            ByteArrayOutputStream expanded = new ByteArrayOutputStream(BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                boolean stuck = count == 0 && !inflater.finished();
                if (stuck || expanded.size() + count > maxBytes) {
                    throw new DataFormatException(stuck ? "cut short" : "over " + maxBytes + " bytes");
                }
                expanded.write(buffer, 0, count);
            }
            if (inflater.getRemaining() > 0) {
                throw new DataFormatException("bytes follow the end");
            }
            return expanded.toByteArray();
        } finally {
            inflater.end();
        }
    }
}
