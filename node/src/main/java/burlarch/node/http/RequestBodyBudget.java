package burlarch.node.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory that the bodies of all open requests of one server hold together. Safe for use by many threads. */
public final class RequestBodyBudget {
    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /** @param maxBytes the most bytes that are reserved at any time */
    public RequestBodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves that many bytes; returns false, and reserves none, if they are not available. */
    public boolean tryReserve(long bytes) {
        if (reservedBytes.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    /** Releases reserved bytes. */
    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
