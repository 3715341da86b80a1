package burlarch.audit;

/** An event recorded by one party of a run. All parties on one machine use the clock of {@link ClientRequest}. */
public sealed interface AuditRecord permits ClientRequest, Attempt, MembershipUpdate, NodeStart, ProxyRun {}
