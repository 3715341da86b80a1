package burlarch.engine;

import burlarch.routing.KvEvents.KvEvent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Removes the events of one response that a later event of it supersedes. Each event states how many tokens of
 * a segment are cached from then on, so only the last event of each segment counts. A segment that is read or evicted
 * in pieces causes an event for each piece.
 */
final class KvEventCompactor {
    private record SegmentKey(String salt, long id) {}

    private KvEventCompactor() {}

    /** The last event of each segment, in the order of the events. */
    static List<KvEvent> compact(List<KvEvent> events) {
        if (events.size() < 2) {
            return events;
        }
        Set<SegmentKey> seen = new HashSet<>(2 * events.size());
        List<KvEvent> latest = new ArrayList<>(events.size());
        for (int i = events.size() - 1; i >= 0; i--) {
            KvEvent event = events.get(i);
            if (seen.add(new SegmentKey(event.salt(), event.segment()))) {
                latest.add(event);
            }
        }
        Collections.reverse(latest);
        return latest;
    }
}
