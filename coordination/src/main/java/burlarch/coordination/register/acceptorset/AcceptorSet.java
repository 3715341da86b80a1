package burlarch.coordination.register.acceptorset;

import burlarch.coordination.register.RegisterValue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The acceptors that a value names, and its quorums.
 *
 * <p>A settled set has one list, and a majority of it is a quorum. A set that changes has two, the one before
 * and the one after, and a quorum is a majority of each. In {@link RegisterValue#members()} a changing set is
 * written as one list: an acceptor that joins has a plus sign before its storage identity, one that leaves a
 * minus sign. Identities therefore begin with neither.
 */
public final class AcceptorSet {
    /** The most acceptors that one list may name. */
    public static final int MAX_MEMBERS = 64;

    private static final String JOINS = "+";
    private static final String LEAVES = "-";

    private final List<AcceptorMember> before = new ArrayList<>();
    private final List<AcceptorMember> after = new ArrayList<>();
    private final List<AcceptorMember> all = new ArrayList<>();
    private final boolean changing;

    private AcceptorSet(List<AcceptorMember> members) {
        if (members.size() > 2 * MAX_MEMBERS) {
            throw new IllegalArgumentException("too many acceptors");
        }
        boolean marked = false;
        Set<String> seen = new HashSet<>();
        for (AcceptorMember member : members) {
            boolean joins = member.storageId().startsWith(JOINS);
            boolean leaves = member.storageId().startsWith(LEAVES);
            AcceptorMember plain =
                    joins || leaves ? new AcceptorMember(member.storageId().substring(1), member.address()) : member;
            if (plain.storageId().isEmpty() || !seen.add(plain.storageId())) {
                throw new IllegalArgumentException("an acceptor without identity, or named twice");
            }
            all.add(plain);
            if (!joins) {
                before.add(plain);
            }
            if (!leaves) {
                after.add(plain);
            }
            marked |= joins || leaves;
        }
        changing = marked;
    }

    /** Reads the members of a value. */
    public static AcceptorSet of(List<AcceptorMember> members) {
        return new AcceptorSet(members);
    }

    /** Members of a value that leads from one settled set to another; addresses are those of {@code to}. */
    public static List<AcceptorMember> jointMembers(List<AcceptorMember> from, List<AcceptorMember> to) {
        if (to.isEmpty() || to.size() > MAX_MEMBERS || of(to).changing) {
            throw new IllegalArgumentException("not a settled set of acceptors");
        }
        List<AcceptorMember> members = new ArrayList<>();
        for (AcceptorMember member : from) {
            AcceptorMember kept = find(to, member.storageId());
            members.add(kept != null ? kept : new AcceptorMember(LEAVES + member.storageId(), member.address()));
        }
        for (AcceptorMember member : to) {
            if (find(from, member.storageId()) == null) {
                members.add(new AcceptorMember(JOINS + member.storageId(), member.address()));
            }
        }
        return List.copyOf(members);
    }

    /** Whether two lists are in force at once. */
    public boolean isJoint() {
        return changing;
    }

    /** Everyone who has a vote, under plain identities. */
    public List<AcceptorMember> votingMembers() {
        return List.copyOf(all);
    }

    /** The acceptors once the change is done; all of them in a settled set. */
    public List<AcceptorMember> newMembers() {
        return List.copyOf(after);
    }

    /** Those of another settled set that have no vote in this one. */
    public List<AcceptorMember> joining(List<AcceptorMember> next) {
        return next.stream().filter(member -> !contains(member.storageId())).toList();
    }

    public boolean contains(String storage) {
        return find(all, storage) != null;
    }

    /** Whether these identities are a majority of each list in force; others among them don't count. */
    public boolean hasQuorum(Set<String> storages) {
        return hasMajority(before, storages) && hasMajority(after, storages);
    }

    /** Whether a list names the same disks as this settled set, at whatever addresses. */
    public boolean hasSameAcceptors(List<AcceptorMember> members) {
        if (changing || members.size() != all.size()) {
            return false;
        }
        for (AcceptorMember member : members) {
            if (!contains(member.storageId())) {
                return false;
            }
        }
        return true;
    }

    private static boolean hasMajority(List<AcceptorMember> members, Set<String> storages) {
        int count = 0;
        for (AcceptorMember member : members) {
            if (storages.contains(member.storageId())) {
                count++;
            }
        }
        return 2 * count > members.size();
    }

    private static AcceptorMember find(List<AcceptorMember> members, String storage) {
        for (AcceptorMember member : members) {
            if (member.storageId().equals(storage)) {
                return member;
            }
        }
        return null;
    }
}
