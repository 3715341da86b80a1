package burlarch.proxy;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts discovery's stream into its objects. Each stands on a line of its own or, indented, on several; braces
 * outside of strings tell where it ends, so that it counts with its last byte. An object that was broken off
 * is given up at the next list that stands whole on its line.
 */
final class EntryFramer {
    /** What the stream holds, in its order. */
    interface Sink {
        void object(String text);

        /** An empty line: nothing has changed. */
        void beat();

        /** What is no object, or one that was broken off. */
        void malformed();
    }

    private static final int USUAL_BYTES = 4096;

    private final Sink sink;
    private final int longest;
    private byte[] text = new byte[USUAL_BYTES];
    private int length;
    /** How many braces and brackets are open: from the object's start, and from the current line's. */
    private int depth;

    private int lineDepth;
    /** Where in the text the current line begins, and whether anything but blanks stands on it. */
    private int lineStart;

    private boolean lineBegun;
    private boolean inString;
    private boolean escaped;

    EntryFramer(int longest, Sink sink) {
        this.longest = longest;
        this.sink = sink;
    }

    /** @return false where an object is too long to be kept: nothing is known of it any more */
    boolean take(byte b) {
        if (b == '\n') {
            endLine();
            return length <= longest;
        }
        boolean blank = b == ' ' || b == '\t' || b == '\r';
        if (blank && length == 0) {
            return true;
        }
        keep(b);
        lineBegun |= !blank;
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
                object(0);
            } else if (lineDepth == 0 && lineStart > 0 && isWholeList(lineStart)) {
                sink.malformed();
                object(lineStart);
            }
        }
        return length <= longest;
    }

    private void keep(byte b) {
        if (length == text.length) {
            text = Arrays.copyOf(text, 2 * length);
        }
        text[length++] = b;
    }

    private void endLine() {
        // No string goes on over a line's end, so that one that was broken off hides nothing behind it.
        inString = false;
        escaped = false;
        if (length == 0 && !lineBegun) {
            sink.beat();
        } else if (length > 0 && depth <= 0) {
            sink.malformed();
            clear();
        } else if (length > 0) {
            keep((byte) '\n');
        }
        lineBegun = false;
        lineDepth = 0;
        lineStart = length;
    }

    /** Guards against taking an entry of an indented list, which may stand on one line, for a list. */
    private boolean isWholeList(int from) {
        return text[from] == '{' && cut(from, length).contains("\"instances\"");
    }

    private void object(int from) {
        String object = cut(from, length);
        clear();
        sink.object(object);
    }

    private String cut(int from, int to) {
        return new String(text, from, to - from, StandardCharsets.UTF_8);
    }

    private void clear() {
        length = 0;
        depth = 0;
        lineDepth = 0;
        lineStart = 0;
        if (text.length > 64 * USUAL_BYTES) {
            text = new byte[USUAL_BYTES];
        }
    }
}
