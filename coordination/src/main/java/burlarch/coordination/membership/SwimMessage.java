package burlarch.coordination.membership;

import java.util.List;

/**
 * The messages between members, one per datagram ({@link SwimCodec}). Every kind carries updates: gossip, or the
 * content of a table. Only a ping is acknowledged; any message may be lost, duplicated or late.
 */
public sealed interface SwimMessage {
    /** Returns the sender, and a digest of the live members that it knows. */
    Header header();

    /** Returns the membership updates: gossip, or the content of a page. */
    List<MemberUpdate> updates();

    /**
     * The part that all messages share.
     *
     * @param processId the sender's {@link MemberInfo#processId()}
     * @param digest digest of the live process ids, equal at two members that know the same live processes
     */
    record Header(long processId, long digest) {}

    /**
     * Asks for an {@link Ack}.
     *
     * @param sequence sequence number that the ack echoes
     * @param targetProcessId the process to probe, 0 for any process at the address
     */
    record Ping(Header header, int sequence, long targetProcessId, List<MemberUpdate> updates) implements SwimMessage {}

    /**
     * Answer to a {@link Ping}, or the forwarded answer to the member that sent a {@link PingRequest}.
     *
     * @param sequence sequence number of the ping or the ping request
     * @param subjectProcessId the process that answered the probe
     */
    record Ack(Header header, int sequence, long subjectProcessId, List<MemberUpdate> updates) implements SwimMessage {}

    /**
     * Asks for an indirect probe.
     *
     * @param sequence sequence number that the ack or nack echoes
     * @param targetProcessId the process to probe
     * @param address its address, IP:PORT
     */
    record PingRequest(Header header, int sequence, long targetProcessId, String address, List<MemberUpdate> updates)
            implements SwimMessage {}

    /**
     * Reports that an indirect probe got no answer.
     *
     * @param sequence sequence number of the ping request
     */
    record Nack(Header header, int sequence, List<MemberUpdate> updates) implements SwimMessage {}

    /** Requests the whole table; the only update is the sender's own. */
    record SyncRequest(Header header, List<MemberUpdate> updates) implements SwimMessage {}

    /** A page of the sender's table; the first update on each page is the sender's own. */
    record SyncPage(Header header, List<MemberUpdate> updates) implements SwimMessage {}
}
