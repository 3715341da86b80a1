package burlarch.lab.load;

import burlarch.audit.Digest;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;

/**
 * Reads answers byte by byte, as lean as a generator of 100,000 a second needs it: a status, a length, a
 * digest of the body. An answer without {@code Content-Length} can't be read, as no peer of ours sends one.
 */
final class AnswerParser {
    /** What has come so far. */
    enum State {
        HEAD,
        BODY,
        DONE,
        BROKEN
    }

    private static final int LINE_MOST = 4096;
    /** More than any answer that a proxy may give. */
    private static final long BODY_MOST = 16 << 20;

    private final byte[] line = new byte[LINE_MOST];
    private int lineLength;
    private boolean firstLine = true;
    private State state = State.HEAD;
    private long bodyLeft;
    private ByteArrayOutputStream body;

    int status;
    boolean close;
    double retryAfterS;
    long bodyDigest;
    boolean any;

    /** @param keepsBody whether the next answer's body is wanted, and not its digest alone */
    void reset(boolean keepsBody) {
        reset();
        body = keepsBody ? new ByteArrayOutputStream() : null;
    }

    /** The body of the answer that was read last, where it was to be kept. */
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
        bodyLeft = -1;
        any = false;
    }

    AnswerParser() {
        reset();
    }

    /** Reads up to the end of the answer, and no further. */
    State read(ByteBuf in) {
        while (in.isReadable() && state != State.DONE && state != State.BROKEN) {
            any = true;
            if (state == State.HEAD) {
                byte b = in.readByte();
                if (b == '\n') {
                    endOfLine();
                } else if (lineLength == LINE_MOST) {
                    state = State.BROKEN;
                } else {
                    line[lineLength++] = b;
                }
            } else {
                int take = (int) Math.min(bodyLeft, in.readableBytes());
                for (int i = 0; i < take; i++) {
                    byte b = in.readByte();
                    bodyDigest = Digest.append(bodyDigest, b);
                    if (body != null) {
                        body.write(b);
                    }
                }
                bodyLeft -= take;
                state = bodyLeft == 0 ? State.DONE : State.BODY;
            }
        }
        return state;
    }

    private void endOfLine() {
        int length = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
        lineLength = 0;
        if (firstLine) {
            firstLine = false;
            status = length >= 12 && line[0] == 'H' ? digits(9, 12) : -1;
            if (status < 100) {
                state = State.BROKEN;
            }
        } else if (length == 0) {
            if (bodyLeft > BODY_MOST) {
                state = State.BROKEN;
            } else if (status < 200) {
                // An interim answer: the final one follows.
                firstLine = true;
            } else {
                state = bodyLeft < 0 ? State.BROKEN : bodyLeft == 0 ? State.DONE : State.BODY;
            }
        } else {
            header(length);
        }
    }

    private void header(int length) {
        if (named("content-length:", length)) {
            long value = digits(skipBlanks(15, length), length);
            bodyLeft = value < 0 ? -1 : value;
        } else if (named("connection:", length)) {
            close = (line[skipBlanks(11, length)] | 0x20) == 'c';
        } else if (named("retry-after:", length)) {
            try {
                retryAfterS = Double.parseDouble(
                        new String(line, 12, length - 12, java.nio.charset.StandardCharsets.US_ASCII).strip());
            } catch (NumberFormatException e) {
                retryAfterS = 0;
            }
        }
    }

    private int skipBlanks(int from, int length) {
        int at = from;
        while (at < length - 1 && line[at] == ' ') {
            at++;
        }
        return Math.min(at, LINE_MOST - 1);
    }

    private boolean named(String name, int length) {
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

    /** @return the number, -1 where it is none */
    private int digits(int from, int to) {
        int value = 0;
        for (int i = from; i < to; i++) {
            if (line[i] < '0' || line[i] > '9' || value > 100_000_000) {
                return -1;
            }
            value = 10 * value + line[i] - '0';
        }
        return to > from ? value : -1;
    }
}
