package burlarch.fleet.rehearsal;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One HTTP/1.1 message as a stand-in reads it.
 *
 * @param head first line and headers, without the empty line
 */
record HttpMessage(String head, String body) {
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final int HEX = 16;

    /** Reads the next message; null where the peer has closed instead. */
    static HttpMessage read(InputStream input) throws IOException {
        String head = upTo(END_OF_HEAD, input);
        if (head == null) {
            return null;
        }
        HttpMessage bare = new HttpMessage(head, "");
        if (bare.header("transfer-encoding") != null) {
            return new HttpMessage(head, chunks(input));
        }
        String length = bare.header("content-length");
        byte[] body = length == null ? new byte[0] : input.readNBytes(Integer.parseInt(length));
        return new HttpMessage(head, new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Code of an answer. */
    int status() {
        return Integer.parseInt(head.split(" ", 3)[1]);
    }

    /** Path and query of a request. */
    String target() {
        return head.split(" ", 3)[1];
    }

    /** The value of a header, named in lower case; null without it. */
    String header(String name) {
        int at = head.toLowerCase(Locale.ROOT).indexOf("\r\n" + name + ":");
        if (at < 0) {
            return null;
        }
        int from = at + name.length() + 3;
        int to = head.indexOf("\r\n", from);
        return head.substring(from, to < 0 ? head.length() : to).strip();
    }

    private static String chunks(InputStream input) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            String size = upTo("\r\n", input);
            if (size == null) {
                throw new EOFException("cut off");
            }
            int length = Integer.parseInt(size, HEX);
            body.append(new String(input.readNBytes(length), StandardCharsets.ISO_8859_1));
            upTo("\r\n", input);
            if (length == 0) {
                return body.toString();
            }
        }
    }

    private static String upTo(String end, InputStream input) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < end.length()) {
            int next = input.read();
            if (next < 0) {
                return null;
            }
            text.write(next);
            matched = next == end.charAt(matched) ? matched + 1 : next == end.charAt(0) ? 1 : 0;
        }
        return text.toString(StandardCharsets.ISO_8859_1).substring(0, text.size() - end.length());
    }
}
