package burlarch.node.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory budget for the bodies, or for the heads, of all open requests of one server, complete or not. Large ones must
 * leave a part of it to small ones, so that they do not exclude ordinary requests. Thread-safe.
 */
public final class RequestMemoryBudget {
    /** A body up to this size may use the whole budget. */
    public static final int SMALL_BODY_BYTES = 64 << 10;

    private final long maxBytes;
    private final long maxBytesWithLarge;
    private final long smallBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /** @param maxBytes limit of the bytes that are reserved at any time */
    public RequestMemoryBudget(long maxBytes) {
        this(maxBytes, 0);
    }

    /**
     * A budget for bodies.
     *
     * @param maxBytes limit of the bytes that are reserved at any time
     * @param bytesForSmallBodies part of them that only bodies up to {@link #SMALL_BODY_BYTES} may use
     */
    public RequestMemoryBudget(long maxBytes, long bytesForSmallBodies) {
        this(maxBytes, bytesForSmallBodies, SMALL_BODY_BYTES);
    }

    /**
     * @param maxBytes limit of the bytes that are reserved at any time
     * @param bytesForSmall part of them that only bodies or heads up to {@code smallBytes} may use
     */
    public RequestMemoryBudget(long maxBytes, long bytesForSmall, long smallBytes) {
        this.maxBytes = maxBytes;
        this.maxBytesWithLarge = maxBytes - bytesForSmall;
        this.smallBytes = smallBytes;
    }

    /**
     * Reserves {@code bytes} more bytes for a body or a head; returns false and reserves none if that would exceed the
     * limit.
     *
     * @param totalBytes size of the whole body or head as far as it is known, at least what is reserved for it then
     */
    public boolean tryReserve(long bytes, long totalBytes) {
        long limit = totalBytes > smallBytes ? maxBytesWithLarge : maxBytes;
        if (reservedBytes.addAndGet(bytes) <= limit) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    /** Releases {@code bytes} bytes that were reserved before. */
    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    /** Returns the bytes that are reserved at the moment. */
    public long reservedBytes() {
        return reservedBytes.get();
    }
}
