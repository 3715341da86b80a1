package burlarch.audit;

import java.util.List;

/**
 * All records of one run, by kind.
 *
 * @param clientRequests    requests as their clients saw them
 * @param attempts          attempts as the nodes saw them
 * @param membershipUpdates membership updates that proxies received
 * @param nodeStarts        cold starts of nodes
 * @param proxyRuns         runs of proxy processes
 * @param droppedRecords    number of records that were dropped: with gaps the audit can miss violations
 */
public record Records(
        List<ClientRequest> clientRequests,
        List<Attempt> attempts,
        List<MembershipUpdate> membershipUpdates,
        List<NodeStart> nodeStarts,
        List<ProxyRun> proxyRuns,
        long droppedRecords) {
    /** Groups records by kind; the order within a kind is kept. */
    static Records of(List<AuditRecord> records, long droppedRecords) {
        return new Records(
                ofKind(ClientRequest.class, records),
                ofKind(Attempt.class, records),
                ofKind(MembershipUpdate.class, records),
                ofKind(NodeStart.class, records),
                ofKind(ProxyRun.class, records),
                droppedRecords);
    }

    private static <T extends AuditRecord> List<T> ofKind(Class<T> kind, List<AuditRecord> records) {
        return records.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
