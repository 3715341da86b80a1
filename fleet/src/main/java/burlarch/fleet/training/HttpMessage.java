package burlarch.fleet.training;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Parsed HTTP/1.1 request or response, limited to the features that the training run needs.
 *
 * @param head start line and header lines, without the empty line
 * @param body the body, with chunked transfer coding removed
 */
record HttpMessage(String head, String body) {
    private static final String HEAD_TERMINATOR = "\r\n\r\n";
    private static final int HEX_RADIX = 16;

    /** Reads the next message; returns null if the peer closed the connection instead. */
    static HttpMessage read(InputStream input) throws IOException {
        String head = readUntil(HEAD_TERMINATOR, input);
        if (head == null) {
            return null;
        }
        HttpMessage headOnly = new HttpMessage(head, "");
        if (headOnly.header("transfer-encoding") != null) {
            return new HttpMessage(head, readChunks(input));
        }
        String length = headOnly.header("content-length");
        byte[] body = length == null ? new byte[0] : input.readNBytes(Integer.parseInt(length));
        return new HttpMessage(head, new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Status code of a response. */
    int status() {
        return Integer.parseInt(head.split(" ", 3)[1]);
    }

    /** Path and query of a request. */
    String target() {
        return head.split(" ", 3)[1];
    }

    /** Value of the header of that lower-case name, or null if there is none. */
    String header(String name) {
        int headerStart = head.toLowerCase(Locale.ROOT).indexOf("\r\n" + name + ":");
        if (headerStart < 0) {
            return null;
        }
        int valueStart = headerStart + name.length() + 3;
        int valueEnd = head.indexOf("\r\n", valueStart);
        return head.substring(valueStart, valueEnd < 0 ? head.length() : valueEnd)
                .strip();
    }

    private static String readChunks(InputStream input) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            String size = readUntil("\r\n", input);
            if (size == null) {
                throw new EOFException("connection closed inside a chunked body");
            }
            int length = Integer.parseInt(size, HEX_RADIX);
            body.append(new String(input.readNBytes(length), StandardCharsets.ISO_8859_1));
            readUntil("\r\n", input);
            if (length == 0) {
                return body.toString();
            }
        }
    }

    private static String readUntil(String terminator, InputStream input) throws IOException {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < terminator.length()) {
            int next = input.read();
            if (next < 0) {
                return null;
            }
            buffer.write(next);
            matched = next == terminator.charAt(matched) ? matched + 1 : next == terminator.charAt(0) ? 1 : 0;
        }
        return buffer.toString(StandardCharsets.ISO_8859_1).substring(0, buffer.size() - terminator.length());
    }
}
