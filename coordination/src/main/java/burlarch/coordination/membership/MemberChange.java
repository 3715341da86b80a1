package burlarch.coordination.membership;

import java.util.Optional;

/**
 * A change of another member's state in the local view. A process that replaces an earlier one of its name causes two
 * changes: the earlier process becomes DEAD, then the new one becomes known.
 *
 * @param member the process whose state changed
 * @param before its state before the change, empty if the process was not known
 * @param after its state after the change
 */
public record MemberChange(MemberInfo member, Optional<MemberState> before, MemberState after) {
    /** Returns whether the process joins the live members with this change. */
    public boolean appeared() {
        return after.isLive() && !wasLive();
    }

    /** Returns whether the process ceases to be a live member with this change. */
    public boolean disappeared() {
        return !after.isLive() && wasLive();
    }

    private boolean wasLive() {
        return before.isPresent() && before.get().isLive();
    }
}
