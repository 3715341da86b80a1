package burlarch.node.http;

import java.util.concurrent.atomic.AtomicLong;

/** Memory budget for the bodies of all open requests of one server. Thread-safe. */
public final class RequestBodyBudget {
    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /** @param maxBytes limit of the bytes that are reserved at any time */
    public RequestBodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves {@code bytes} bytes; returns false and reserves none if that would exceed the limit. */
    public boolean tryReserve(long bytes) {
        if (reservedBytes.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    /** Releases {@code bytes} bytes that were reserved before. */
    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
