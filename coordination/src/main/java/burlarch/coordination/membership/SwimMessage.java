package burlarch.coordination.membership;

import java.util.List;

/** What members say to one another. Claims ride on every kind. */
public sealed interface SwimMessage {
    /** Who sends, and the sum over the live members that it knows. */
    Header header();

    /** News on members, or the content of a page. */
    List<MemberUpdate> updates();

    /**
     * @param processId the sender's {@link MemberInfo#processId()}
     * @param digest equal at two members that know the same live processes
     */
    record Header(long processId, long digest) {}

    /**
     * Asks for an {@link Ack}.
     *
     * @param targetProcessId process that is meant; whoever has its address answers
     */
    record Ping(Header header, int sequence, long targetProcessId, List<MemberUpdate> updates) implements SwimMessage {}

    /**
     * Answer to {@link Ping}, passed on by a helper after {@link PingRequest}.
     *
     * @param subjectProcessId the process that answered the probe
     */
    record Ack(Header header, int sequence, long subjectProcessId, List<MemberUpdate> updates) implements SwimMessage {}

    /** Asks a helper to probe {@code targetProcessId} at {@code address}. */
    record PingRequest(Header header, int sequence, long targetProcessId, String address, List<MemberUpdate> updates)
            implements SwimMessage {}

    /** A helper's word that it got no answer. */
    record Nack(Header header, int sequence, List<MemberUpdate> updates) implements SwimMessage {}

    /** Asks for the whole table; the sender's own claim comes first. */
    record SyncRequest(Header header, List<MemberUpdate> updates) implements SwimMessage {}

    /** A part of the sender's table; its own claim comes first on each page. */
    record SyncPage(Header header, List<MemberUpdate> updates) implements SwimMessage {}
}
