package burlarch.engine;

import burlarch.routing.KvEvents.KvEvent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Compaction of prefix-cache events: removes the events of one response that a later event in it supersedes. Each
 * event states how many tokens of a segment are cached from then on, so only the last event of each segment matters.
 * A segment that is read or evicted in chunks causes one event per chunk.
 */
final class KvEventCompactor {
    private record SegmentKey(String salt, long id) {}

    private KvEventCompactor() {}

    /** Returns the last event of each segment, in the original order. */
    static List<KvEvent> compact(List<KvEvent> events) {
        if (events.size() < 2) {
            return events;
        }
        Set<SegmentKey> seenSegments = new HashSet<>(2 * events.size());
        List<KvEvent> latestEvents = new ArrayList<>(events.size());
        for (int i = events.size() - 1; i >= 0; i--) {
            KvEvent event = events.get(i);
            if (seenSegments.add(new SegmentKey(event.salt(), event.segment()))) {
                latestEvents.add(event);
            }
        }
        Collections.reverse(latestEvents);
        return latestEvents;
    }
}
