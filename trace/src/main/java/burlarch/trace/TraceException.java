package burlarch.trace;

import java.io.IOException;

/** Thrown for a malformed or truncated trace file; its message names the file, the byte offset and the fault. */
public final class TraceException extends IOException {
    private static final long serialVersionUID = 1L;

    private final long offset;

    TraceException(String file, long offset, String fault) {
        super(file + ": at byte " + offset + ": " + fault);
        this.offset = offset;
    }

    /** Offset in bytes of the fault in the file. */
    public long offset() {
        return offset;
    }
}
