package burlarch.coordination.register.proposal;

import java.util.random.RandomGenerator;

/**
 * The delays before a new attempt after proposers have conflicted. The upper bound doubles with each conflict;
 * jitter keeps proposers from conflicting again.
 */
final class ConflictBackoff {
    private static final long FIRST_NANOS = 20_000_000L;
    private static final int MAX_DOUBLINGS = 5;

    private final RandomGenerator random;
    private int conflicts;

    ConflictBackoff(RandomGenerator random) {
        this.random = random;
    }

    /** The next delay, from a quarter of the bound to five quarters of it. */
    long nextNanos() {
        long boundNanos = FIRST_NANOS << Math.min(conflicts++, MAX_DOUBLINGS);
        return boundNanos / 4 + random.nextLong(boundNanos);
    }
}
