package burlarch.audit;

/** Something that one party of a run saw. All parties of one machine share the clock of {@link Asked}. */
public sealed interface AuditRecord permits Asked, Attempt, Told, Started, Ran {}
