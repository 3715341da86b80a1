package burlarch.coordination.register.proposal;

import java.util.random.RandomGenerator;

/** Pauses between the ballots of proposers that get into each other's way: they double, with jitter. */
final class ConflictBackoff {
    private static final long FIRST_NANOS = 20_000_000L;
    private static final int MOST_DOUBLINGS = 5;

    private final RandomGenerator random;
    private int conflicts;

    ConflictBackoff(RandomGenerator random) {
        this.random = random;
    }

    /** Length of the next pause in nanoseconds. */
    long next() {
        long ceiling = FIRST_NANOS << Math.min(conflicts++, MOST_DOUBLINGS);
        return ceiling / 4 + random.nextLong(ceiling);
    }
}
