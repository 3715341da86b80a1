package burlarch.router.prefixcache;

import burlarch.engine.KvUpdate;
import burlarch.routing.KvEvents;
import burlarch.routing.KvEvents.KvEvent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The batches that the golden files contain, by file name. */
final class GoldenBatches {
    private static final KvUpdate EVENTS = new KvUpdate(
            new KvEvents(
                    "engine-1",
                    -5,
                    false,
                    List.of(
                            new KvEvent(true, "m|3|tenant", 0x5C1E07A2L, 800, ""),
                            new KvEvent(false, "m|3", -1, 0, ""),
                            new KvEvent(true, "m|3|tenant", Long.MAX_VALUE, Integer.MAX_VALUE, ""))),
            false,
            118,
            121);
    private static final KvUpdate EVENTS_AFTER_A_LOSS = new KvUpdate(
            new KvEvents("engine-2", 1, true, List.of(new KvEvent(false, "m|3", 1, 127, ""))), false, 0, 300);
    private static final KvUpdate SNAPSHOT = new KvUpdate(
            new KvEvents("störe", Long.MAX_VALUE, false, List.of(new KvEvent(true, "m|3", 0xFFFFFFFFL, 128, ""))),
            true,
            1L << 40,
            1L << 40);
    private static final KvUpdate EMPTY_SNAPSHOT = new KvUpdate(new KvEvents("s", 0, true, List.of()), true, 0, 0);

    private GoldenBatches() {}

    static Map<String, List<KvUpdate>> examples() {
        Map<String, List<KvUpdate>> batches = new LinkedHashMap<>();
        batches.put("empty", List.of());
        batches.put("events", List.of(EVENTS));
        batches.put("events-after-a-loss", List.of(EVENTS_AFTER_A_LOSS));
        batches.put("list", List.of(SNAPSHOT));
        batches.put("empty-list", List.of(EMPTY_SNAPSHOT));
        batches.put("all", List.of(EVENTS, EVENTS_AFTER_A_LOSS, SNAPSHOT, EMPTY_SNAPSHOT));
        return batches;
    }
}
