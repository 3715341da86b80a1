package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * News that still has to go out. Troubles and objections to them go before mere arrivals, or a start of many
 * would drown them; then what went out least often. Bounded by the member table.
 */
final class GossipQueue {
    private static final Comparator<MemberRecord> URGENT_THEN_LEAST_SENT = (one, other) -> {
        int byUrgency = Boolean.compare(other.isUrgent(), one.isUrgent());
        return byUrgency != 0 ? byUrgency : Integer.compare(other.transmissionsLeft, one.transmissionsLeft);
    };

    private final List<MemberRecord> pending = new ArrayList<>();

    /** Sends the row's claim {@code transmissions} times from now on. */
    void add(MemberRecord row, int transmissions) {
        if (row.transmissionsLeft <= 0) {
            pending.add(row);
        }
        row.transmissionsLeft = transmissions;
    }

    void remove(MemberRecord row) {
        if (row.transmissionsLeft > 0) {
            row.transmissionsLeft = 0;
            pending.remove(row);
        }
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    int size() {
        return pending.size();
    }

    /** Adds the most pressing claims that fit into {@code room} bytes, and counts them as sent. */
    void takeUpdates(int room, List<MemberUpdate> claims) {
        if (pending.isEmpty()) {
            return;
        }
        pending.sort(URGENT_THEN_LEAST_SENT);
        int left = room;
        for (MemberRecord row : pending) {
            int size = SwimCodec.sizeOf(row.update);
            if (size > left) {
                break;
            }
            left -= size;
            if (!claims.contains(row.update)) {
                claims.add(row.update);
            }
            row.transmissionsLeft--;
        }
        pending.removeIf(row -> row.transmissionsLeft <= 0);
    }
}
