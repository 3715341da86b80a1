package burlarch.node.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The bytes of one request body, as far as they have arrived. A body whose declared length is large counts as large
 * from its first byte on.
 *
 * <p>Invariant <em>reserved before allocated</em>: the memory of the buffer is always reserved in the budget, from
 * before it is allocated until {@link #release}.
 *
 * <p>Thread-safe: a request may end on another thread while its body is still being read.
 */
public final class RequestBodyBuffer {
    /** Result of {@link #append}. */
    public enum AppendResult {
        APPENDED,
        /** The body exceeds its size limit. */
        TOO_LONG,
        /** The budget has no room, or the buffer was released; nothing can be appended any more. */
        NO_ROOM
    }

    private static final int INITIAL_BYTES = 4 << 10;
    private static final int GROWTH_FACTOR = 2;
    private static final byte[] EMPTY = {};

    private final RequestMemoryBudget budget;
    private final int maxBytes;
    private final long declaredBytes;
    private byte[] bytes = EMPTY;
    private int length;
    private boolean released;

    /**
     * Creates an empty buffer, which reserves nothing.
     *
     * @param maxBytes size limit of the body
     * @param declaredBytes its Content-Length; negative if it is not known
     */
    public RequestBodyBuffer(RequestMemoryBudget budget, int maxBytes, long declaredBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
        this.declaredBytes = declaredBytes;
    }

    /** Appends a copy of the bytes of a chunk. */
    public synchronized AppendResult append(ByteBuffer chunk) {
        int added = chunk.remaining();
        if (released) {
            return AppendResult.NO_ROOM;
        }
        if (added > maxBytes - length) {
            return AppendResult.TOO_LONG;
        }
        if (added > bytes.length - length && !grow(length + added)) {
            return AppendResult.NO_ROOM;
        }
        chunk.get(bytes, length, added);
        length += added;
        return AppendResult.APPENDED;
    }

    /** Returns the bytes so far, which must not be used after {@link #release}. */
    public synchronized ByteBuffer content() {
        return ByteBuffer.wrap(bytes, 0, length);
    }

    /** Returns the bytes so far, without a copy where that is possible. */
    public synchronized byte[] toByteArray() {
        return length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    }

    /** Drops the bytes and releases their reservation. Further calls change nothing. */
    public synchronized void release() {
        released = true;
        budget.release(bytes.length);
        bytes = EMPTY;
        length = 0;
    }

    private boolean grow(int requiredBytes) {
        long wantedBytes = Math.max(Math.max(requiredBytes, INITIAL_BYTES), (long) bytes.length * GROWTH_FACTOR);
        int size = (int) Math.min(wantedBytes, declaredBytes >= requiredBytes ? declaredBytes : maxBytes);
        if (!budget.tryReserve(size - bytes.length, Math.max(size, declaredBytes))) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, size);
        return true;
    }
}
