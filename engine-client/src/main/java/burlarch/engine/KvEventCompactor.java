package burlarch.engine;

import burlarch.routing.KvEvents.KvEvent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Of events that came together those that still tell something. Each event names how many tokens of a part
 * are kept from then on, so that of several of one part the last alone counts: a part that is read or dropped
 * in pieces makes an event for each piece.
 */
final class KvEventCompactor {
    private record Part(String salt, long id) {}

    private KvEventCompactor() {}

    /** The last event of each part, in their order. */
    static List<KvEvent> of(List<KvEvent> events) {
        if (events.size() < 2) {
            return events;
        }
        Set<Part> told = new HashSet<>(2 * events.size());
        List<KvEvent> latest = new ArrayList<>(events.size());
        for (int i = events.size() - 1; i >= 0; i--) {
            KvEvent event = events.get(i);
            if (told.add(new Part(event.salt(), event.segment()))) {
                latest.add(event);
            }
        }
        Collections.reverse(latest);
        return latest;
    }
}
