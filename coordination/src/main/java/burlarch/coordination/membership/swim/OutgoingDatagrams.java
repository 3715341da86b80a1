package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberUpdate;
import burlarch.coordination.membership.SwimCodec;
import burlarch.coordination.membership.SwimMessage;
import java.util.ArrayList;
import java.util.List;

/**
 * The outgoing messages of the present step: builds them, piggybacks updates on them, and collects their datagrams
 * until the step ends.
 */
final class OutgoingDatagrams {
    private final MembershipView view;
    private final int maxDatagramBytes;
    private List<SwimStep.Datagram> datagrams = new ArrayList<>();

    OutgoingDatagrams(MembershipView view, int maxDatagramBytes) {
        this.view = view;
        this.maxDatagramBytes = maxDatagramBytes;
    }

    /**
     * Sends a ping.
     *
     * @param first update that the message has to carry, or null
     */
    void ping(String to, int sequence, long targetProcessId, MemberUpdate first) {
        add(to, new SwimMessage.Ping(view.header(), sequence, targetProcessId, piggybacked(first)));
    }

    /**
     * Sends an ack.
     *
     * @param first update that the message has to carry, or null
     */
    void ack(String to, int sequence, long subjectProcessId, MemberUpdate first) {
        add(to, new SwimMessage.Ack(view.header(), sequence, subjectProcessId, piggybacked(first)));
    }

    void pingRequest(String to, int sequence, MemberInfo target) {
        SwimMessage request = new SwimMessage.PingRequest(
                view.header(), sequence, target.processId(), target.address(), piggybacked(null));
        add(to, request);
    }

    void nack(String to, int sequence) {
        add(to, new SwimMessage.Nack(view.header(), sequence, piggybacked(null)));
    }

    void syncRequest(String to) {
        add(to, new SwimMessage.SyncRequest(view.header(), List.of(view.ownUpdate())));
    }

    /** Sends the own update alone, as a table page. */
    void ownUpdate(String to) {
        add(to, new SwimMessage.SyncPage(view.header(), List.of(view.ownUpdate())));
    }

    /** Sends the whole table, on as many pages as it needs. */
    void syncPages(String to) {
        List<MemberUpdate> page = listStartingWith(view.ownUpdate());
        int bytesLeft = bytesLeftAfter(view.ownUpdate());
        for (MemberRecord record : view.table().records()) {
            int size = SwimCodec.sizeOf(record.update);
            if (size > bytesLeft) {
                add(to, new SwimMessage.SyncPage(view.header(), page));
                page = listStartingWith(view.ownUpdate());
                bytesLeft = bytesLeftAfter(view.ownUpdate());
            }
            page.add(record.update);
            bytesLeft -= size;
        }
        add(to, new SwimMessage.SyncPage(view.header(), page));
    }

    /** Removes and returns the datagrams since the last call, in order. */
    List<SwimStep.Datagram> take() {
        if (datagrams.isEmpty()) {
            return List.of();
        }
        List<SwimStep.Datagram> taken = datagrams;
        datagrams = new ArrayList<>();
        return taken;
    }

    private List<MemberUpdate> piggybacked(MemberUpdate first) {
        if (first == null && view.gossip().isEmpty()) {
            return List.of();
        }
        List<MemberUpdate> updates = listStartingWith(first);
        view.gossip().takeUpdates(bytesLeftAfter(first), updates);
        return updates;
    }

    private static List<MemberUpdate> listStartingWith(MemberUpdate first) {
        List<MemberUpdate> updates = new ArrayList<>();
        if (first != null) {
            updates.add(first);
        }
        return updates;
    }

    private int bytesLeftAfter(MemberUpdate first) {
        int used = first == null ? 0 : SwimCodec.sizeOf(first);
        return maxDatagramBytes - SwimCodec.FRAME_BYTES - used;
    }

    private void add(String to, SwimMessage message) {
        datagrams.add(new SwimStep.Datagram(to, SwimCodec.encode(message)));
    }
}
