package burlarch.audit;

/** Receives the records of a party. Never blocks: a record that cannot be kept is dropped and counted. */
public interface Sink {
    /** Discards all records, for runs without an audit. */
    Sink NONE = record -> {};

    /** Keeps a record or drops it. */
    void write(AuditRecord record);
}
