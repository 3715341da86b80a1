package burlarch.coordination.register.acceptorset;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The set of acceptors that a value names, with its quorum rule. Immutable.
 *
 * <p>A set is in one of two forms:
 *
 * <ul>
 *   <li>A <em>simple</em> set has one list of members; a quorum is a majority of it.
 *   <li>A <em>joint</em> set (M, N) is in force while the acceptors change from M to N. It has two lists of members,
 *       the old and the new one; a quorum is a majority of each. The literature calls this joint consensus.
 * </ul>
 *
 * <p>{@link burlarch.coordination.register.RegisterValue#members()} holds a joint set as one list: a joining
 * acceptor, which is in the new list alone, has a plus sign before its storage identity; a leaving acceptor, which is
 * in the old list alone, has a minus sign. Identities themselves therefore begin with neither sign.
 */
public final class AcceptorSet {
    /** Largest number of acceptors in one list. */
    public static final int MAX_MEMBERS = 64;

    private static final String JOINING_PREFIX = "+";
    private static final String LEAVING_PREFIX = "-";

    private final List<AcceptorMember> oldMembers = new ArrayList<>();
    private final List<AcceptorMember> newMembers = new ArrayList<>();
    private final List<AcceptorMember> votingMembers = new ArrayList<>();
    private final boolean joint;

    private AcceptorSet(List<AcceptorMember> encodedMembers) {
        if (encodedMembers.size() > 2 * MAX_MEMBERS) {
            throw new IllegalArgumentException(
                    "acceptor set too large: expected at most two lists of MAX_MEMBERS acceptors");
        }
        boolean anyMarked = false;
        Set<String> seenIds = new HashSet<>();
        for (AcceptorMember encoded : encodedMembers) {
            boolean joins = encoded.storageId().startsWith(JOINING_PREFIX);
            boolean leaves = encoded.storageId().startsWith(LEAVING_PREFIX);
            AcceptorMember member =
                    joins || leaves ? new AcceptorMember(encoded.storageId().substring(1), encoded.address()) : encoded;
            if (member.storageId().isEmpty() || !seenIds.add(member.storageId())) {
                throw new IllegalArgumentException("acceptor set invalid: a storage identity is empty or occurs twice");
            }
            votingMembers.add(member);
            if (!joins) {
                oldMembers.add(member);
            }
            if (!leaves) {
                newMembers.add(member);
            }
            anyMarked |= joins || leaves;
        }
        joint = anyMarked;
    }

    /**
     * Decodes the members of a value.
     *
     * @throws IllegalArgumentException when the list names too many acceptors, the same acceptor twice, or one
     *     without identity
     */
    public static AcceptorSet of(List<AcceptorMember> members) {
        return new AcceptorSet(members);
    }

    /**
     * Encodes the joint set that leads from one simple set to another. An acceptor in both sets gets its address from
     * {@code to}.
     *
     * @throws IllegalArgumentException when {@code to} is not a simple set of 1 to {@link #MAX_MEMBERS} acceptors
     */
    public static List<AcceptorMember> jointMembers(List<AcceptorMember> from, List<AcceptorMember> to) {
        if (to.isEmpty() || to.size() > MAX_MEMBERS || of(to).joint) {
            throw new IllegalArgumentException(
                    "target acceptor set invalid: expected a simple set of 1 to MAX_MEMBERS acceptors");
        }
        List<AcceptorMember> members = new ArrayList<>();
        for (AcceptorMember member : from) {
            AcceptorMember retained = find(to, member.storageId());
            members.add(
                    retained != null
                            ? retained
                            : new AcceptorMember(LEAVING_PREFIX + member.storageId(), member.address()));
        }
        for (AcceptorMember member : to) {
            if (find(from, member.storageId()) == null) {
                members.add(new AcceptorMember(JOINING_PREFIX + member.storageId(), member.address()));
            }
        }
        return List.copyOf(members);
    }

    /** Returns whether this is a joint set: two lists of members are in force. */
    public boolean isJoint() {
        return joint;
    }

    /** Returns all acceptors that have a vote, in a joint set those of both lists. Their identities have no prefix. */
    public List<AcceptorMember> votingMembers() {
        return List.copyOf(votingMembers);
    }

    /** Returns the acceptors of the new list, which remain after the change; in a simple set all acceptors. */
    public List<AcceptorMember> newMembers() {
        return List.copyOf(newMembers);
    }

    /** Returns the acceptors of another simple set that have no vote in this one. */
    public List<AcceptorMember> joining(List<AcceptorMember> next) {
        return next.stream().filter(member -> !contains(member.storageId())).toList();
    }

    /**
     * Returns whether these identities are a majority of each list in force; identities outside a list do not count
     * for it.
     */
    public boolean hasQuorum(Set<String> storageIds) {
        return hasMajority(oldMembers, storageIds) && hasMajority(newMembers, storageIds);
    }

    /** Returns whether this is a simple set of the same storage identities as the list; addresses may differ. */
    public boolean hasSameAcceptors(List<AcceptorMember> members) {
        if (joint || members.size() != votingMembers.size()) {
            return false;
        }
        for (AcceptorMember member : members) {
            if (!contains(member.storageId())) {
                return false;
            }
        }
        return true;
    }

    private boolean contains(String storageId) {
        return find(votingMembers, storageId) != null;
    }

    private static boolean hasMajority(List<AcceptorMember> members, Set<String> storageIds) {
        int count = 0;
        for (AcceptorMember member : members) {
            if (storageIds.contains(member.storageId())) {
                count++;
            }
        }
        return 2 * count > members.size();
    }

    private static AcceptorMember find(List<AcceptorMember> members, String storageId) {
        for (AcceptorMember member : members) {
            if (member.storageId().equals(storageId)) {
                return member;
            }
        }
        return null;
    }
}
