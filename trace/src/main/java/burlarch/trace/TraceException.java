package burlarch.trace;

import java.io.IOException;

/** A trace that is not as it was written: names the file, the offset in bytes and what is wrong there. */
public final class TraceException extends IOException {
    private static final long serialVersionUID = 1L;

    private final long offset;

    TraceException(String file, long offset, String what) {
        super(file + ": at byte " + offset + ": " + what);
        this.offset = offset;
    }

    public long offset() {
        return offset;
    }
}
