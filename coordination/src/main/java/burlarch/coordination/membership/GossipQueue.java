package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * News that still has to go out. Troubles and objections to them go before mere arrivals, or a start of many
 * would drown them; then what went out least often. Bounded by the member table.
 */
final class GossipQueue {
    private static final Comparator<MemberRecord> URGENT_THEN_FRESH = (one, other) -> {
        int byUrgency = Boolean.compare(other.urgent(), one.urgent());
        return byUrgency != 0 ? byUrgency : Integer.compare(other.transmissionsLeft, one.transmissionsLeft);
    };

    private final List<MemberRecord> waiting = new ArrayList<>();

    /** Sends the row's claim {@code transmissions} times from now on. */
    void add(MemberRecord row, int transmissions) {
        if (row.transmissionsLeft <= 0) {
            waiting.add(row);
        }
        row.transmissionsLeft = transmissions;
    }

    void remove(MemberRecord row) {
        if (row.transmissionsLeft > 0) {
            row.transmissionsLeft = 0;
            waiting.remove(row);
        }
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /** Adds the most pressing claims that fit into {@code room} bytes, and counts them as sent. */
    void take(int room, List<MemberClaim> claims) {
        if (waiting.isEmpty()) {
            return;
        }
        waiting.sort(URGENT_THEN_FRESH);
        int left = room;
        for (MemberRecord row : waiting) {
            int size = SwimCodec.sizeOf(row.claim);
            if (size > left) {
                break;
            }
            left -= size;
            if (!claims.contains(row.claim)) {
                claims.add(row.claim);
            }
            row.transmissionsLeft--;
        }
        waiting.removeIf(row -> row.transmissionsLeft <= 0);
    }
}
