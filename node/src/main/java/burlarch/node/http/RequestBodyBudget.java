package burlarch.node.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Memory budget for the bodies of all open requests of one server, complete or not. Large bodies must leave a part of
 * it to small ones, so that uploads do not exclude ordinary requests. Thread-safe.
 */
public final class RequestBodyBudget {
    /** A body up to this size may use the whole budget. */
    public static final int SMALL_BODY_BYTES = 64 << 10;

    private final long maxBytes;
    private final long maxBytesWithLargeBodies;
    private final AtomicLong reservedBytes = new AtomicLong();

    /** @param maxBytes limit of the bytes that are reserved at any time */
    public RequestBodyBudget(long maxBytes) {
        this(maxBytes, 0);
    }

    /**
     * @param maxBytes limit of the bytes that are reserved at any time
     * @param bytesForSmallBodies part of them that only bodies up to {@link #SMALL_BODY_BYTES} may use
     */
    public RequestBodyBudget(long maxBytes, long bytesForSmallBodies) {
        this.maxBytes = maxBytes;
        this.maxBytesWithLargeBodies = maxBytes - bytesForSmallBodies;
    }

    /**
     * Reserves {@code bytes} more bytes for a body; returns false and reserves none if that would exceed the limit.
     *
     * @param bodyBytes size of the whole body as far as it is known, at least what is reserved for it then
     */
    public boolean tryReserve(long bytes, long bodyBytes) {
        long limit = bodyBytes > SMALL_BODY_BYTES ? maxBytesWithLargeBodies : maxBytes;
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
