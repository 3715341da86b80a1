package burlarch.engine;

import burlarch.routing.KvEvents;

/**
 * What one answer of a source told, with its place in the source's numbering: whoever has had all up to
 * {@code since} has had all up to {@code next} with this.
 *
 * @param snapshot whether this is the whole of what is kept, as of {@code next}; events otherwise
 */
public record KvUpdate(KvEvents events, boolean snapshot, long since, long next) {}
