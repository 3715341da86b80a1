package burlarch.coordination.register.acceptorset;

import java.util.ArrayList;
import java.util.List;

/**
 * The difference between two acceptor sets, for log lines that operators read.
 *
 * @param added acceptors of the new set that were not in the old one
 * @param removed acceptors of the old set that are not in the new one
 * @param size number of acceptors in the new set
 */
public record AcceptorSetChange(List<AcceptorMember> added, List<AcceptorMember> removed, int size) {
    private static final int SHOWN_IDENTITY_CHARACTERS = 8;

    /** Computes the difference between two lists of acceptors, both encoded as in a value of the register. */
    public static AcceptorSetChange between(List<AcceptorMember> before, List<AcceptorMember> after) {
        AcceptorSet from = AcceptorSet.of(before);
        AcceptorSet to = AcceptorSet.of(after);
        return new AcceptorSetChange(
                from.joining(to.newMembers()),
                to.joining(from.newMembers()),
                to.newMembers().size());
    }

    /** Returns whether no acceptor was added or removed. */
    public boolean isEmpty() {
        return added.isEmpty() && removed.isEmpty();
    }

    @Override
    public String toString() {
        List<String> parts = new ArrayList<>();
        added.forEach(member -> parts.add("added " + describe(member)));
        removed.forEach(member -> parts.add("removed " + describe(member)));
        parts.add("size " + size);
        return String.join(", ", parts);
    }

    /** Returns the acceptor's address, and the last characters of its storage identity. */
    static String describe(AcceptorMember member) {
        String identity = member.storageId();
        String identityEnd = identity.substring(Math.max(0, identity.length() - SHOWN_IDENTITY_CHARACTERS));
        return member.address() + " (disk ..." + identityEnd + ")";
    }
}
