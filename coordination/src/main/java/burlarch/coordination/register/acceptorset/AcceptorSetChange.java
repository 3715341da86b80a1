package burlarch.coordination.register.acceptorset;

import burlarch.coordination.register.RegisterValue;
import java.util.ArrayList;
import java.util.List;

/**
 * What a change makes of the acceptors, in a form to be read by operators.
 *
 * @param size how many acceptors there are then
 */
public record AcceptorSetChange(List<AcceptorMember> added, List<AcceptorMember> removed, int size) {
    private static final int SHOWN_IDENTITY = 8;

    /** From one list of acceptors to another; both as in {@link RegisterValue#members()}. */
    public static AcceptorSetChange between(List<AcceptorMember> before, List<AcceptorMember> after) {
        AcceptorSet from = AcceptorSet.of(before);
        AcceptorSet to = AcceptorSet.of(after);
        return new AcceptorSetChange(
                from.joining(to.newMembers()),
                to.joining(from.newMembers()),
                to.newMembers().size());
    }

    /** Whether any acceptor came or went. */
    public boolean isEmpty() {
        return added.isEmpty() && removed.isEmpty();
    }

    @Override
    public String toString() {
        List<String> parts = new ArrayList<>();
        added.forEach(member -> parts.add("added " + text(member)));
        removed.forEach(member -> parts.add("removed " + text(member)));
        parts.add("size " + size);
        return String.join(", ", parts);
    }

    /** Address and the end of the disk's identity. */
    static String text(AcceptorMember member) {
        String identity = member.storageId();
        String end = identity.substring(Math.max(0, identity.length() - SHOWN_IDENTITY));
        return member.address() + " (disk ..." + end + ")";
    }
}
