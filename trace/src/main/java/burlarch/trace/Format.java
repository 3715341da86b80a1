package burlarch.trace;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** The figures of the format, which docs/trace-format.md describes. */
final class Format {
    static final byte[] MAGIC = "BRLTRACE".getBytes(StandardCharsets.US_ASCII);
    static final int VERSION = 1;
    static final int BLOCK = 'B';
    static final int END = 'E';
    static final int FLAG_WRITE = 1;
    static final int BLOCK_RECORDS = 4096;
    /** A reader takes no more for a block, whatever the file says: it could be anything. */
    static final int BLOCK_BYTES_MOST = 16 << 20;

    static final int TEXT_MOST = 4096;

    private Format() {}

    static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
