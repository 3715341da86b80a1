package burlarch.coordination.membership;

import java.util.List;

/** What members say to one another. Claims ride on every kind. */
public sealed interface SwimMessage {
    /** Who sends, and the sum over the live members that it knows. */
    Header header();

    /** News on members, or the content of a page. */
    List<MemberClaim> claims();

    /**
     * @param process the sender's {@link MemberInfo#incarnationOfProcess()}
     * @param digest equal at two members that know the same live processes
     */
    record Header(long process, long digest) {}

    /**
     * Asks for an {@link Ack}.
     *
     * @param target process that is meant; whoever has its address answers
     */
    record Ping(Header header, int sequence, long target, List<MemberClaim> claims) implements SwimMessage {}

    /**
     * Answer to {@link Ping}, passed on by a helper after {@link PingRequest}.
     *
     * @param subject the process that answered the probe
     */
    record Ack(Header header, int sequence, long subject, List<MemberClaim> claims) implements SwimMessage {}

    /** Asks a helper to probe {@code target} at {@code address}. */
    record PingRequest(Header header, int sequence, long target, String address, List<MemberClaim> claims)
            implements SwimMessage {}

    /** A helper's word that it got no answer. */
    record Nack(Header header, int sequence, List<MemberClaim> claims) implements SwimMessage {}

    /** Asks for the whole table; the sender's own claim comes first. */
    record SyncRequest(Header header, List<MemberClaim> claims) implements SwimMessage {}

    /** A part of the sender's table; its own claim comes first on each page. */
    record SyncPage(Header header, List<MemberClaim> claims) implements SwimMessage {}
}
