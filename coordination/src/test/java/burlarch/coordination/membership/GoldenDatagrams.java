package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The messages that the golden datagrams hold, by the name of the file. */
final class GoldenDatagrams {
    private static final SwimMessage.Header HEADER = new SwimMessage.Header(Long.MIN_VALUE, 77);

    private GoldenDatagrams() {}

    static Map<String, SwimMessage> examples() {
        List<MemberUpdate> updates = ofEachState();
        Map<String, SwimMessage> all = new LinkedHashMap<>();
        all.put("ping", new SwimMessage.Ping(HEADER, -1, 5, updates));
        all.put("ping-without-claims", new SwimMessage.Ping(HEADER, 1, 5, List.of()));
        all.put("ack", new SwimMessage.Ack(HEADER, 9, 5, updates));
        all.put("ping-request", new SwimMessage.PingRequest(HEADER, 9, 5, "1.2.3.4:1", updates));
        all.put("nack", new SwimMessage.Nack(HEADER, 2, updates));
        all.put("sync-request", new SwimMessage.SyncRequest(HEADER, updates));
        all.put("sync-page", new SwimMessage.SyncPage(HEADER, updates));
        return all;
    }

    private static List<MemberUpdate> ofEachState() {
        List<MemberUpdate> updates = new ArrayList<>();
        for (MemberState state : MemberState.values()) {
            MemberInfo info = new MemberInfo(
                    "näme-" + updates.size(), "255.1.0.254:65535", "controller", "north", updates.size() - 5L);
            updates.add(new MemberUpdate(info, 41, state));
        }
        return updates;
    }
}
