package burlarch.lab.load;

import burlarch.audit.Digest;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Incremental parser of HTTP/1.1 responses that keeps only the status, the length and a digest of the body. It does
 * little work per byte because a load generator parses 100,000 responses a second. A response without
 * {@code Content-Length} is rejected; none of the servers under test sends such a response.
 */
final class ResponseParser {
    /** Progress of the response being parsed. */
    enum State {
        HEAD,
        BODY,
        DONE,
        BROKEN
    }

    private static final int MAX_LINE_BYTES = 4096;
    /** Larger than any response that a proxy is allowed to send. */
    private static final long MAX_BODY_BYTES = 16 << 20;

    private final byte[] line = new byte[MAX_LINE_BYTES];
    private int lineLength;
    private boolean firstLine = true;
    private State state = State.HEAD;
    private long remainingBodyBytes;
    private ByteArrayOutputStream body;

    int status;
    boolean close;
    double retryAfterS;
    long bodyDigest;
    boolean receivedBytes;

    /**
     * Prepares for the next response.
     *
     * @param keepsBody whether the body is kept, rather than only its digest
     */
    void reset(boolean keepsBody) {
        reset();
        body = keepsBody ? new ByteArrayOutputStream() : null;
    }

    /** Returns the body of the last response; only valid where {@link #reset(boolean)} asked to keep it. */
    byte[] body() {
        return body.toByteArray();
    }

    private void reset() {
        lineLength = 0;
        firstLine = true;
        state = State.HEAD;
        status = 0;
        close = false;
        retryAfterS = 0;
        bodyDigest = Digest.EMPTY;
        remainingBodyBytes = -1;
        receivedBytes = false;
    }

    ResponseParser() {
        reset();
    }

    /** Consumes bytes up to the end of the response, and none beyond it. */
    State read(ByteBuf in) {
        while (in.isReadable() && state != State.DONE && state != State.BROKEN) {
            receivedBytes = true;
            if (state == State.HEAD) {
                byte b = in.readByte();
                if (b == '\n') {
                    endOfLine();
                } else if (lineLength == MAX_LINE_BYTES) {
                    state = State.BROKEN;
                } else {
                    line[lineLength++] = b;
                }
            } else {
                int chunkBytes = (int) Math.min(remainingBodyBytes, in.readableBytes());
                for (int i = 0; i < chunkBytes; i++) {
                    byte b = in.readByte();
                    bodyDigest = Digest.append(bodyDigest, b);
                    if (body != null) {
                        body.write(b);
                    }
                }
                remainingBodyBytes -= chunkBytes;
                state = remainingBodyBytes == 0 ? State.DONE : State.BODY;
            }
        }
        return state;
    }

    private void endOfLine() {
        int length = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
        lineLength = 0;
        if (firstLine) {
            firstLine = false;
            status = length >= 12 && line[0] == 'H' ? parseDigits(9, 12) : -1;
            if (status < 100) {
                state = State.BROKEN;
            }
        } else if (length == 0) {
            if (remainingBodyBytes > MAX_BODY_BYTES) {
                state = State.BROKEN;
            } else if (status < 200) {
                // An interim (1xx) response: the final one follows.
                firstLine = true;
            } else {
                state = remainingBodyBytes < 0 ? State.BROKEN : remainingBodyBytes == 0 ? State.DONE : State.BODY;
            }
        } else {
            header(length);
        }
    }

    private void header(int length) {
        if (hasName("content-length:", length)) {
            long value = parseDigits(skipBlanks(15, length), length);
            remainingBodyBytes = value < 0 ? -1 : value;
        } else if (hasName("connection:", length)) {
            close = (line[skipBlanks(11, length)] | 0x20) == 'c';
        } else if (hasName("retry-after:", length)) {
            try {
                retryAfterS = Double.parseDouble(
                        new String(line, 12, length - 12, java.nio.charset.StandardCharsets.US_ASCII).strip());
            } catch (NumberFormatException e) {
                retryAfterS = 0;
            }
        }
    }

    private int skipBlanks(int from, int length) {
        int position = from;
        while (position < length - 1 && line[position] == ' ') {
            position++;
        }
        return Math.min(position, MAX_LINE_BYTES - 1);
    }

    private boolean hasName(String name, int length) {
        if (length < name.length()) {
            return false;
        }
        for (int i = 0; i < name.length(); i++) {
            int b = line[i] >= 'A' && line[i] <= 'Z' ? line[i] | 0x20 : line[i];
            if (b != name.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** @return the decimal number, or -1 if the range is empty or holds anything but digits */
    private int parseDigits(int from, int end) {
        int value = 0;
        for (int i = from; i < end; i++) {
            if (line[i] < '0' || line[i] > '9' || value > 100_000_000) {
                return -1;
            }
            value = 10 * value + line[i] - '0';
        }
        return end > from ? value : -1;
    }
}
