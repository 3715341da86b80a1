package burlarch.engine;

/**
 * How far the events of a source are known.
 *
 * @param next the {@code since} from which the rest comes
 */
public record KvOffset(long epoch, long next) {}
