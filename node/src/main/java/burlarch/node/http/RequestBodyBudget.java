package burlarch.node.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory that the bodies of all open requests of one server take together. */
public final class RequestBodyBudget {
    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /** @param maxBytes most bytes that are taken at any time */
    public RequestBodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes that many bytes, or none and returns false where they are not free. */
    public boolean tryReserve(long bytes) {
        if (reservedBytes.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    /** Gives back bytes that were taken. */
    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
