package burlarch.fleet.router;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory that the bodies of all open requests take together. */
final class BodyBudget {
    private static final long MOST_BYTES = 16L << 20;

    private final AtomicLong taken = new AtomicLong();

    /** Takes room for a body, or returns false where there is none. */
    boolean take(int bytes) {
        if (taken.addAndGet(bytes) <= MOST_BYTES) {
            return true;
        }
        taken.addAndGet(-bytes);
        return false;
    }

    void giveBack(int bytes) {
        taken.addAndGet(-bytes);
    }
}
