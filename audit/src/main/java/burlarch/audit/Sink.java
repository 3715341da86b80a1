package burlarch.audit;

/** Takes what a party writes down. Never blocks: what can't be kept is counted as left out. */
public interface Sink {
    /** Keeps nothing, for runs without an audit. */
    Sink NONE = record -> {};

    void write(AuditRecord record);
}
