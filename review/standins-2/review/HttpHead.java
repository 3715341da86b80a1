package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The start line and the header fields of one HTTP/1.1 message. */
final class HttpHead {
    private static final int MAX_HEAD_BYTES = 64 << 10;

    private final String startLine;
    private final List<String[]> fields = new ArrayList<>();

    private HttpHead(String startLine) {
        this.startLine = startLine;
    }

    /** Reads a head; returns null if the stream ends before the first byte. */
    static HttpHead read(InputStream in) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        HttpHead head = new HttpHead(startLine);
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new IOException("malformed header field: " + line);
            }
            head.fields.add(new String[] {
                line.substring(0, colon).trim(), line.substring(colon + 1).trim()
            });
        }
        return head;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() > 0) {
                    throw new IOException("stream ended within a line");
                }
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
            if (line.size() > MAX_HEAD_BYTES) {
                throw new IOException("line too long");
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the value of the first field of that name, or null. */
    String get(String name) {
        for (String[] field : fields) {
            if (field[0].equalsIgnoreCase(name)) {
                return field[1];
            }
        }
        return null;
    }

    /** Returns the value of a numeric field, or the fallback if it is absent. */
    long number(String name, long fallback) {
        String value = get(name);
        return value == null ? fallback : Long.parseLong(value.trim());
    }

    /** Returns the method of a request. */
    String method() {
        return startLine.split(" ")[0];
    }

    /** Returns the target of a request. */
    String target() {
        return startLine.split(" ")[1];
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    private boolean isChunked() {
        String coding = get("Transfer-Encoding");
        return coding != null && coding.toLowerCase(java.util.Locale.ROOT).contains("chunked");
    }

    /** Reads the body of a request; empty if the head announces none. */
    byte[] readRequestBody(InputStream in) throws IOException {
        return isChunked() ? readChunks(in) : readExactly(in, (int) number("Content-Length", 0));
    }

    /** Reads the body of a response; it fails if the body does not arrive whole. */
    byte[] readResponseBody(InputStream in) throws IOException {
        if (isChunked()) {
            return readChunks(in);
        }
        return get("Content-Length") == null ? in.readAllBytes() : readExactly(in, (int) number("Content-Length", 0));
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("body ended early");
        }
        return bytes;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new IOException("chunked body ended early");
            }
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            body.writeBytes(readExactly(in, length));
            if (readLine(in) == null) {
                throw new IOException("chunked body ended early");
            }
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }
}
