package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberUpdate;
import burlarch.coordination.membership.SwimCodec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The queue of updates that are still to be sent as gossip. Failures and refutations precede arrivals, which would
 * otherwise displace them when many members start at once; among equals the least often sent ones go first. Bounded
 * by the member table, as it holds each record at most once.
 */
final class GossipQueue {
    private static final Comparator<MemberRecord> URGENT_THEN_LEAST_SENT = (first, second) -> {
        int byUrgency = Boolean.compare(second.isUrgent(), first.isUrgent());
        return byUrgency != 0 ? byUrgency : Integer.compare(second.transmissionsLeft, first.transmissionsLeft);
    };

    private final List<MemberRecord> pending = new ArrayList<>();

    /** Schedules the record's update for {@code transmissions} transmissions from now on. */
    void add(MemberRecord record, int transmissions) {
        if (record.transmissionsLeft <= 0) {
            pending.add(record);
        }
        record.transmissionsLeft = transmissions;
    }

    /** Stops sending the record's update. */
    void remove(MemberRecord record) {
        if (record.transmissionsLeft > 0) {
            record.transmissionsLeft = 0;
            pending.remove(record);
        }
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    int size() {
        return pending.size();
    }

    /**
     * Adds the most urgent updates that fit into {@code maxBytes} to {@code updates}, and counts them as sent. An
     * update that the list already contains is counted but not added again.
     */
    void takeUpdates(int maxBytes, List<MemberUpdate> updates) {
        if (pending.isEmpty()) {
            return;
        }
        pending.sort(URGENT_THEN_LEAST_SENT);
        int bytesLeft = maxBytes;
        for (MemberRecord record : pending) {
            int size = SwimCodec.sizeOf(record.update);
            if (size > bytesLeft) {
                break;
            }
            bytesLeft -= size;
            if (!updates.contains(record.update)) {
                updates.add(record.update);
            }
            record.transmissionsLeft--;
        }
        pending.removeIf(record -> record.transmissionsLeft <= 0);
    }
}
