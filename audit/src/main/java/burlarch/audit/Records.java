package burlarch.audit;

import java.util.List;

/**
 * All that was written down in one run.
 *
 * @param leftOut records that a party could not keep: an audit with gaps finds nothing wrong too easily
 */
public record Records(
        List<Asked> asked,
        List<Attempt> attempts,
        List<Told> told,
        List<Started> started,
        List<Ran> ran,
        long leftOut) {
    /** Sorts records by their kind, each kind in the order given. */
    static Records of(List<AuditRecord> records, long leftOut) {
        return new Records(
                only(Asked.class, records),
                only(Attempt.class, records),
                only(Told.class, records),
                only(Started.class, records),
                only(Ran.class, records),
                leftOut);
    }

    private static <T extends AuditRecord> List<T> only(Class<T> kind, List<AuditRecord> records) {
        return records.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
