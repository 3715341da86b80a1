package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The messages that the golden datagrams contain, by file name. */
final class GoldenDatagrams {
    private static final SwimMessage.Header HEADER = new SwimMessage.Header(Long.MIN_VALUE, 77);

    private GoldenDatagrams() {}

    static Map<String, SwimMessage> examples() {
        List<MemberUpdate> updates = updatesOfEachState();
        Map<String, SwimMessage> messages = new LinkedHashMap<>();
        messages.put("ping", new SwimMessage.Ping(HEADER, -1, 5, updates));
        messages.put("ping-without-claims", new SwimMessage.Ping(HEADER, 1, 5, List.of()));
        messages.put("ack", new SwimMessage.Ack(HEADER, 9, 5, updates));
        messages.put("ping-request", new SwimMessage.PingRequest(HEADER, 9, 5, "1.2.3.4:1", updates));
        messages.put("nack", new SwimMessage.Nack(HEADER, 2, updates));
        messages.put("sync-request", new SwimMessage.SyncRequest(HEADER, updates));
        messages.put("sync-page", new SwimMessage.SyncPage(HEADER, updates));
        return messages;
    }

    private static List<MemberUpdate> updatesOfEachState() {
        List<MemberUpdate> updates = new ArrayList<>();
        for (MemberState state : MemberState.values()) {
            MemberInfo info = new MemberInfo(
                    "näme-" + updates.size(), "255.1.0.254:65535", "controller", "north", updates.size() - 5L);
            updates.add(new MemberUpdate(info, 41, state));
        }
        return updates;
    }
}
