package burlarch.audit;

/** An event recorded by one party of a run. All parties on one machine use the clock of {@link Asked}. */
public sealed interface AuditRecord permits Asked, Attempt, MembershipUpdate, NodeStart, Ran {}
