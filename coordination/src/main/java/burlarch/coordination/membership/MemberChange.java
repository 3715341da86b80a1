package burlarch.coordination.membership;

/**
 * A change of what is believed of another member. A process that takes the place of a former one of its name
 * makes two: the former one's end, then its own beginning.
 *
 * @param before null where the member was not known
 */
public record MemberChange(MemberInfo member, MemberState before, MemberState after) {
    /** Whether the member joins the live ones with this. */
    public boolean appeared() {
        return after.isLive() && (before == null || !before.isLive());
    }

    /** Whether the member ceases to be a live one with this. */
    public boolean disappeared() {
        return !after.isLive() && before != null && before.isLive();
    }
}
