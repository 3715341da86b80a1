package burlarch.engine;

/**
 * Up to which offset the events of a source are known.
 *
 * @param epoch of the source; offsets of different epochs cannot be compared
 * @param next the {@code since} of the call that returns the events after it
 */
public record KvOffset(long epoch, long next) {}
