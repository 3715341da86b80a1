package burlarch.routing;

import java.util.List;

/**
 * What an engine or store told of the parts that it keeps.
 *
 * @param source id of the instance, or the name of the store's service
 * @param epoch changes with a restart: all that was known before is void
 * @param lost whether events before these are missing
 */
public record KvEvents(String source, long epoch, boolean lost, List<KvEvent> events) {

    /** One part; {@code tokens} kept now; {@code added} false where it went, in whole or in part. */
    public record KvEvent(boolean added, String salt, long segment, int tokens, String model) {}
}
