package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.List;

/** Fills messages up with news and keeps their datagrams until the step ends. */
final class OutgoingDatagrams {
    private final MembershipView beliefs;
    private final int maxDatagramBytes;
    private List<SwimStep.Datagram> datagrams = new ArrayList<>();

    OutgoingDatagrams(MembershipView beliefs, int maxDatagram) {
        this.beliefs = beliefs;
        this.maxDatagramBytes = maxDatagram;
    }

    /** @param first claim that has to be in the message, or null */
    void ping(String to, int sequence, long target, MemberUpdate first) {
        add(to, new SwimMessage.Ping(beliefs.header(), sequence, target, piggybacked(first)));
    }

    /** @param first claim that has to be in the message, or null */
    void ack(String to, int sequence, long subject, MemberUpdate first) {
        add(to, new SwimMessage.Ack(beliefs.header(), sequence, subject, piggybacked(first)));
    }

    void pingRequest(String to, int sequence, MemberInfo target) {
        add(
                to,
                new SwimMessage.PingRequest(
                        beliefs.header(), sequence, target.processId(), target.address(), piggybacked(null)));
    }

    void nack(String to, int sequence) {
        add(to, new SwimMessage.Nack(beliefs.header(), sequence, piggybacked(null)));
    }

    void syncRequest(String to) {
        add(to, new SwimMessage.SyncRequest(beliefs.header(), List.of(beliefs.ownUpdate())));
    }

    /** The own claim alone. */
    void ownUpdate(String to) {
        add(to, new SwimMessage.SyncPage(beliefs.header(), List.of(beliefs.ownUpdate())));
    }

    /** The whole table on as many pages as it needs. */
    void syncPages(String to) {
        List<MemberUpdate> page = updatesBeginningWith(beliefs.ownUpdate());
        int room = bytesLeftAfter(beliefs.ownUpdate());
        for (MemberRecord row : beliefs.table().records()) {
            int size = SwimCodec.sizeOf(row.update);
            if (size > room) {
                add(to, new SwimMessage.SyncPage(beliefs.header(), page));
                page = updatesBeginningWith(beliefs.ownUpdate());
                room = bytesLeftAfter(beliefs.ownUpdate());
            }
            page.add(row.update);
            room -= size;
        }
        add(to, new SwimMessage.SyncPage(beliefs.header(), page));
    }

    List<SwimStep.Datagram> take() {
        if (datagrams.isEmpty()) {
            return List.of();
        }
        List<SwimStep.Datagram> taken = datagrams;
        datagrams = new ArrayList<>();
        return taken;
    }

    private List<MemberUpdate> piggybacked(MemberUpdate first) {
        if (first == null && beliefs.gossip().isEmpty()) {
            return List.of();
        }
        List<MemberUpdate> claims = updatesBeginningWith(first);
        beliefs.gossip().takeUpdates(bytesLeftAfter(first), claims);
        return claims;
    }

    private static List<MemberUpdate> updatesBeginningWith(MemberUpdate first) {
        List<MemberUpdate> claims = new ArrayList<>();
        if (first != null) {
            claims.add(first);
        }
        return claims;
    }

    private int bytesLeftAfter(MemberUpdate first) {
        int taken = first == null ? 0 : SwimCodec.sizeOf(first);
        return maxDatagramBytes - SwimCodec.FRAME_BYTES - taken;
    }

    private void add(String to, SwimMessage message) {
        datagrams.add(new SwimStep.Datagram(to, SwimCodec.encode(message)));
    }
}
