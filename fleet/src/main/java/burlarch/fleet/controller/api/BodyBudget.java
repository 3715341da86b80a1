package burlarch.fleet.controller.api;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory that bodies of open calls take, each and together. */
final class BodyBudget {
    /** Longest body of a configuration, bytes. */
    static final int LONGEST_CONFIGURATION = 8 << 20;
    /** Longest body of any other call, bytes. */
    static final int LONGEST_OTHER = 64 << 10;
    /** Most bytes that all open calls hold together. */
    static final long MOST_TOGETHER = 16 << 20;

    private final AtomicLong held = new AtomicLong();

    /** Takes that many bytes, or none and returns false where they aren't free. */
    boolean take(long bytes) {
        long after = held.addAndGet(bytes);
        if (after <= MOST_TOGETHER) {
            return true;
        }
        held.addAndGet(-bytes);
        return false;
    }

    void giveBack(long bytes) {
        held.addAndGet(-bytes);
    }
}
