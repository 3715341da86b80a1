package burlarch.engine;

/**
 * Position in the event sequence of a source, up to which a reader knows the events.
 *
 * @param epoch epoch of the source; offsets of different epochs cannot be compared
 * @param next offset to pass as {@code since} to read the events that follow
 */
public record KvOffset(long epoch, long next) {}
