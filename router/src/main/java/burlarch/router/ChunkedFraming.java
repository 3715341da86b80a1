package burlarch.router;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The chunked framing of bodies. */
final class ChunkedFraming {
    private static final byte[] LAST = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private ChunkedFraming() {}

    /** A whole chunk around the content, its line end included; the content is consumed. */
    static ByteBuffer frame(ByteBuffer content) {
        int length = content.remaining();
        String size = Integer.toHexString(length);
        byte[] chunk = new byte[size.length() + length + 4];
        int at = 0;
        for (; at < size.length(); at++) {
            chunk[at] = (byte) size.charAt(at);
        }
        chunk[at++] = '\r';
        chunk[at++] = '\n';
        content.get(chunk, at, length);
        chunk[at + length] = '\r';
        chunk[at + length + 1] = '\n';
        return ByteBuffer.wrap(chunk);
    }

    /** What ends a body as complete. */
    static ByteBuffer last() {
        return ByteBuffer.wrap(LAST);
    }
}
