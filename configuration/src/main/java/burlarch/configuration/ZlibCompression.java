package burlarch.configuration;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Bytes in the zlib format, at the cheapest level: a configuration of hundreds of routes shrinks to a tenth
 * for some milliseconds of processor time. Equal bytes compress to equal bytes.
 */
public final class ZlibCompression {
    private static final int BUFFER_BYTES = 16 << 10;

    private ZlibCompression() {}

    /** The compressed form, which {@link #decompress} turns back. */
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
     * The bytes that were compressed.
     *
     * @param offset where the compressed form begins; it must reach to the end of the array
     * @param mostBytes the most that may come out, so that a garbled form can't fill the memory
     * @throws DataFormatException for what {@link #compress} didn't make, or made of more bytes
     */
    public static byte[] decompress(byte[] compressed, int offset, int mostBytes) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed, offset, compressed.length - offset);
            ByteArrayOutputStream expanded = new ByteArrayOutputStream(BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                boolean stuck = count == 0 && !inflater.finished();
                if (stuck || expanded.size() + count > mostBytes) {
                    throw new DataFormatException(stuck ? "cut short" : "over " + mostBytes + " bytes");
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
