package burlarch.coordination.register.proposal;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter for the attempts that follow a conflict between proposers. The delay bound doubles
 * with each conflict; jitter keeps the proposers from conflicting again.
 */
final class ConflictBackoff {
    private static final long FIRST_BOUND_NANOS = 20_000_000L;
    private static final int MAX_DOUBLINGS = 5;

    private final RandomGenerator random;
    private int conflicts;

    ConflictBackoff(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the next delay, between one and five quarters of the present bound. */
    long nextNanos() {
        long boundNanos = FIRST_BOUND_NANOS << Math.min(conflicts++, MAX_DOUBLINGS);
        return boundNanos / 4 + random.nextLong(boundNanos);
    }
}
