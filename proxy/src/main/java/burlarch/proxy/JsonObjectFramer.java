package burlarch.proxy;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits discovery's byte stream into JSON objects. An object occupies one line or, if it is indented, several;
 * its end is found by counting the braces and brackets outside strings, so that it is delivered with its last
 * byte. A truncated object is discarded when the next complete list on a single line arrives.
 */
final class JsonObjectFramer {
    /** Receives the contents of the stream, in order. */
    interface Sink {
        /** A complete JSON object. */
        void object(String text);

        /** An empty line, which discovery sends as a heartbeat: nothing has changed. */
        void heartbeat();

        /** Text that is not an object, or a truncated object. */
        void malformed();
    }

    private static final int INITIAL_BUFFER_BYTES = 4096;

    private final Sink sink;
    private final int maxBytes;
    private byte[] text = new byte[INITIAL_BUFFER_BYTES];
    private int length;
    /** Open braces and brackets since the start of the object. */
    private int depth;
    /** Open braces and brackets since the start of the current line. */
    private int lineDepth;
    /** Index in the text at which the current line starts. */
    private int lineStart;
    /** Whether the current line contains anything but blanks. */
    private boolean lineHasText;

    private boolean inString;
    private boolean escaped;

    JsonObjectFramer(int maxBytes, Sink sink) {
        this.maxBytes = maxBytes;
        this.sink = sink;
    }

    /**
     * Processes the next byte of the stream.
     *
     * @return false if the current object exceeds the size limit, so that the stream must be abandoned
     */
    boolean take(byte b) {
        if (b == '\n') {
            endLine();
            return length <= maxBytes;
        }
        boolean blank = b == ' ' || b == '\t' || b == '\r';
        if (blank && length == 0) {
            return true;
        }
        append(b);
        lineHasText |= !blank;
        if (inString) {
            inString = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            inString = true;
        } else if (b == '{' || b == '[') {
            depth++;
            lineDepth++;
        } else if (b == '}' || b == ']') {
            depth--;
            lineDepth--;
            if (depth == 0 && text[0] == '{') {
                deliver(0);
            } else if (lineDepth == 0 && lineStart > 0 && isWholeList(lineStart)) {
                sink.malformed();
                deliver(lineStart);
            }
        }
        return length <= maxBytes;
    }

    private void append(byte b) {
        if (length == text.length) {
            text = Arrays.copyOf(text, 2 * length);
        }
        text[length++] = b;
    }

    private void endLine() {
        // A string cannot span lines, so an unterminated string of a truncated object ends here.
        inString = false;
        escaped = false;
        if (length == 0 && !lineHasText) {
            sink.heartbeat();
        } else if (length > 0 && depth <= 0) {
            sink.malformed();
            clear();
        } else if (length > 0) {
            append((byte) '\n');
        }
        lineHasText = false;
        lineDepth = 0;
        lineStart = length;
    }

    /** Distinguishes a list from an entry of an indented list, which may also be complete on one line. */
    private boolean isWholeList(int from) {
        return text[from] == '{' && decode(from, length).contains("\"instances\"");
    }

    private void deliver(int from) {
        String object = decode(from, length);
        clear();
        sink.object(object);
    }

    private String decode(int from, int to) {
        return new String(text, from, to - from, StandardCharsets.UTF_8);
    }

    private void clear() {
        length = 0;
        depth = 0;
        lineDepth = 0;
        lineStart = 0;
        if (text.length > 64 * INITIAL_BUFFER_BYTES) {
            text = new byte[INITIAL_BUFFER_BYTES];
        }
    }
}
