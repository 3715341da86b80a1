package burlarch.coordination.membership;

import java.util.ArrayList;
import java.util.List;

/** Fills messages up with news and keeps their datagrams until the step ends. */
final class Outbound {
    private final Beliefs beliefs;
    private final int maxDatagram;
    private List<SwimStep.Datagram> datagrams = new ArrayList<>();

    Outbound(Beliefs beliefs, int maxDatagram) {
        this.beliefs = beliefs;
        this.maxDatagram = maxDatagram;
    }

    /** @param first claim that has to be in the message, or null */
    void ping(String to, int sequence, long target, MemberClaim first) {
        put(to, new SwimMessage.Ping(beliefs.header(), sequence, target, news(first)));
    }

    /** @param first claim that has to be in the message, or null */
    void ack(String to, int sequence, long subject, MemberClaim first) {
        put(to, new SwimMessage.Ack(beliefs.header(), sequence, subject, news(first)));
    }

    void pingRequest(String to, int sequence, MemberInfo target) {
        put(
                to,
                new SwimMessage.PingRequest(
                        beliefs.header(), sequence, target.incarnationOfProcess(), target.address(), news(null)));
    }

    void nack(String to, int sequence) {
        put(to, new SwimMessage.Nack(beliefs.header(), sequence, news(null)));
    }

    void syncRequest(String to) {
        put(to, new SwimMessage.SyncRequest(beliefs.header(), List.of(beliefs.own())));
    }

    /** The own claim alone. */
    void ownClaim(String to) {
        put(to, new SwimMessage.SyncPage(beliefs.header(), List.of(beliefs.own())));
    }

    /** The whole table on as many pages as it needs. */
    void pages(String to) {
        List<MemberClaim> page = firstClaims(beliefs.own());
        int room = roomAfter(beliefs.own());
        for (MemberRecord row : beliefs.table().rows()) {
            int size = SwimCodec.sizeOf(row.claim);
            if (size > room) {
                put(to, new SwimMessage.SyncPage(beliefs.header(), page));
                page = firstClaims(beliefs.own());
                room = roomAfter(beliefs.own());
            }
            page.add(row.claim);
            room -= size;
        }
        put(to, new SwimMessage.SyncPage(beliefs.header(), page));
    }

    List<SwimStep.Datagram> take() {
        if (datagrams.isEmpty()) {
            return List.of();
        }
        List<SwimStep.Datagram> taken = datagrams;
        datagrams = new ArrayList<>();
        return taken;
    }

    private List<MemberClaim> news(MemberClaim first) {
        if (first == null && beliefs.gossip().isEmpty()) {
            return List.of();
        }
        List<MemberClaim> claims = firstClaims(first);
        beliefs.gossip().take(roomAfter(first), claims);
        return claims;
    }

    private static List<MemberClaim> firstClaims(MemberClaim first) {
        List<MemberClaim> claims = new ArrayList<>();
        if (first != null) {
            claims.add(first);
        }
        return claims;
    }

    private int roomAfter(MemberClaim first) {
        int taken = first == null ? 0 : SwimCodec.sizeOf(first);
        return maxDatagram - SwimCodec.FRAME_BYTES - taken;
    }

    private void put(String to, SwimMessage message) {
        datagrams.add(new SwimStep.Datagram(to, SwimCodec.encode(message)));
    }
}
