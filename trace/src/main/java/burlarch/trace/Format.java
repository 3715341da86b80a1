package burlarch.trace;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Constants of the trace file format, which docs/trace-format.md describes. */
final class Format {
    static final byte[] MAGIC = "BRLTRACE".getBytes(StandardCharsets.US_ASCII);
    static final int VERSION = 1;
    static final int BLOCK_MARK = 'B';
    static final int END_MARK = 'E';
    static final int WRITE_FLAG = 1;
    static final int MAX_BLOCK_RECORDS = 4096;
    /** Upper bound of a block's size: a damaged file must not make the reader allocate more. */
    static final int MAX_BLOCK_BYTES = 16 << 20;

    static final int MAX_STRING_LENGTH = 4096;

    private Format() {}

    /** Returns the CRC-32C of a range of bytes. */
    static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
