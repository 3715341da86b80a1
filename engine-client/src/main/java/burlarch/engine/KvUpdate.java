package burlarch.engine;

import burlarch.routing.KvEvents;

/**
 * Update of the known cache content of one source, from one response. A reader that knows the content as of offset
 * {@code since} knows it as of offset {@code next} after applying the update.
 *
 * @param snapshot whether {@code events} are the whole cache content as of {@code next} rather than changes
 */
public record KvUpdate(KvEvents events, boolean snapshot, long since, long next) {}
