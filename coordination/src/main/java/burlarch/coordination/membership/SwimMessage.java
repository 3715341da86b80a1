package burlarch.coordination.membership;

import java.util.List;

/**
 * The messages between members, one per datagram ({@link SwimCodec}). Every kind carries updates: gossip, or the
 * content of a table. None is acknowledged but a ping; any may be lost, repeated or late.
 */
public sealed interface SwimMessage {
    /** Who sends, and a digest of the live members that it knows. */
    Header header();

    /** Membership updates: gossip, or the content of a page. */
    List<MemberUpdate> updates();

    /**
     * The part that all messages have.
     *
     * @param processId the sender's {@link MemberInfo#processId()}
     * @param digest equal at two members that know the same live processes
     */
    record Header(long processId, long digest) {}

    /**
     * Asks for an {@link Ack}.
     *
     * @param sequence goes into the ack
     * @param targetProcessId the process that is meant, 0 for any; whoever has the address answers
     */
    record Ping(Header header, int sequence, long targetProcessId, List<MemberUpdate> updates) implements SwimMessage {}

    /**
     * Answer to a {@link Ping}, or its forwarding to the member that sent a {@link PingRequest}.
     *
     * @param sequence of the ping or the ping request
     * @param subjectProcessId the process that answered the probe
     */
    record Ack(Header header, int sequence, long subjectProcessId, List<MemberUpdate> updates) implements SwimMessage {}

    /**
     * Asks for an indirect probe.
     *
     * @param sequence goes into the ack or nack
     * @param targetProcessId the process to probe
     * @param address its address, IP:PORT
     */
    record PingRequest(Header header, int sequence, long targetProcessId, String address, List<MemberUpdate> updates)
            implements SwimMessage {}

    /**
     * An indirect probe got no answer.
     *
     * @param sequence of the ping request
     */
    record Nack(Header header, int sequence, List<MemberUpdate> updates) implements SwimMessage {}

    /** Asks for the whole table; the only update is the sender's own. */
    record SyncRequest(Header header, List<MemberUpdate> updates) implements SwimMessage {}

    /** A part of the sender's table; its own update is the first one on each page. */
    record SyncPage(Header header, List<MemberUpdate> updates) implements SwimMessage {}
}
