package burlarch.routing;

import java.util.List;

/**
 * A batch of prefix-cache events of one engine or store, or the complete list of what it caches.
 *
 * @param source instance id of the engine, or name of the store's service
 * @param epoch identifies the run of the source; a new epoch (a restart) invalidates all earlier events
 * @param lost whether events that precede these are missing
 * @param events in the order in which they happened
 */
public record KvEvents(String source, long epoch, boolean lost, List<KvEvent> events) {

    /**
     * A change to one cached segment.
     *
     * @param added false if the segment was evicted, wholly or in part
     * @param salt {@link CacheSalt} under which it is cached; null if the source reports none
     * @param segment id of the prompt segment
     * @param tokens tokens of the segment that are cached after the change
     * @param model name of the model; null or empty if it is not reported
     */
    public record KvEvent(boolean added, String salt, long segment, int tokens, String model) {}
}
