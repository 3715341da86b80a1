package burlarch.audit;

import java.util.List;

/**
 * All that was written down in one run.
 *
 * @param leftOut records that a party could not keep: an audit with gaps finds nothing wrong too easily
 */
public record Records(List<Asked> asked, List<Attempt> attempts, List<Told> told, List<Started> started,
        List<Ran> ran, long leftOut) {
}
