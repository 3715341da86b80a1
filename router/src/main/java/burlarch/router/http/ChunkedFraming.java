package burlarch.router.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encoder of the chunked transfer coding (RFC 9112). */
public final class ChunkedFraming {
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private ChunkedFraming() {}

    /** Encodes the content as a complete chunk, including the final line end. Consumes the content. */
    public static ByteBuffer chunk(ByteBuffer content) {
        int length = content.remaining();
        String size = Integer.toHexString(length);
        byte[] chunk = new byte[size.length() + length + 4];
        int offset = 0;
        for (; offset < size.length(); offset++) {
            chunk[offset] = (byte) size.charAt(offset);
        }
        chunk[offset++] = '\r';
        chunk[offset++] = '\n';
        content.get(chunk, offset, length);
        chunk[offset + length] = '\r';
        chunk[offset + length + 1] = '\n';
        return ByteBuffer.wrap(chunk);
    }

    /** Returns the chunk that marks the end of a complete body. */
    public static ByteBuffer lastChunk() {
        return ByteBuffer.wrap(LAST_CHUNK);
    }
}
