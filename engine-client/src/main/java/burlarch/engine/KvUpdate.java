package burlarch.engine;

import burlarch.routing.KvEvents;

/**
 * What one response of a source contained, with its offsets: a reader that knows everything up to
 * {@code since} knows everything up to {@code next} with this update.
 *
 * @param snapshot whether this is everything that is cached as of {@code next}; events otherwise
 */
public record KvUpdate(KvEvents events, boolean snapshot, long since, long next) {}
