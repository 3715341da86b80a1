package burlarch.node.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory that the bodies of all open requests of one server take together. */
public final class BodyBudget {
    private final long mostBytes;
    private final AtomicLong taken = new AtomicLong();

    /** @param mostBytes most bytes that are taken at any time */
    public BodyBudget(long mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** Takes that many bytes, or none and returns false where they are not free. */
    public boolean take(long bytes) {
        if (taken.addAndGet(bytes) <= mostBytes) {
            return true;
        }
        taken.addAndGet(-bytes);
        return false;
    }

    /** Gives back bytes that were taken. */
    public void giveBack(long bytes) {
        taken.addAndGet(-bytes);
    }
}
