package burlarch.coordination.register;

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
    public static final int MOST_MEMBERS = 64;

    private static final String JOINS = "+";
    private static final String LEAVES = "-";

    private final List<Member> before = new ArrayList<>();
    private final List<Member> after = new ArrayList<>();
    private final List<Member> all = new ArrayList<>();
    private final boolean changing;

    private AcceptorSet(List<Member> members) {
        if (members.size() > 2 * MOST_MEMBERS) {
            throw new IllegalArgumentException("too many acceptors");
        }
        boolean marked = false;
        Set<String> seen = new HashSet<>();
        for (Member member : members) {
            boolean joins = member.storage().startsWith(JOINS);
            boolean leaves = member.storage().startsWith(LEAVES);
            Member plain = joins || leaves ? new Member(member.storage().substring(1), member.address()) : member;
            if (plain.storage().isEmpty() || !seen.add(plain.storage())) {
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
    public static AcceptorSet of(List<Member> members) {
        return new AcceptorSet(members);
    }

    /** Members of a value that leads from one settled set to another; addresses are those of {@code to}. */
    static List<Member> change(List<Member> from, List<Member> to) {
        if (to.isEmpty() || to.size() > MOST_MEMBERS || of(to).changing) {
            throw new IllegalArgumentException("not a settled set of acceptors");
        }
        List<Member> members = new ArrayList<>();
        for (Member member : from) {
            Member kept = find(to, member.storage());
            members.add(kept != null ? kept : new Member(LEAVES + member.storage(), member.address()));
        }
        for (Member member : to) {
            if (find(from, member.storage()) == null) {
                members.add(new Member(JOINS + member.storage(), member.address()));
            }
        }
        return List.copyOf(members);
    }

    /** Whether two lists are in force at once. */
    public boolean isChanging() {
        return changing;
    }

    /** Everyone who has a vote, under plain identities. */
    public List<Member> all() {
        return List.copyOf(all);
    }

    /** The acceptors once the change is done; all of them in a settled set. */
    public List<Member> settled() {
        return List.copyOf(after);
    }

    /** Those of another settled set that have no vote in this one. */
    List<Member> joining(List<Member> next) {
        return next.stream().filter(member -> !contains(member.storage())).toList();
    }

    boolean contains(String storage) {
        return find(all, storage) != null;
    }

    /** Whether these identities are a majority of each list in force; others among them don't count. */
    public boolean hasQuorum(Set<String> storages) {
        return hasMajority(before, storages) && hasMajority(after, storages);
    }

    /** Whether a list names the same disks as this settled set, at whatever addresses. */
    boolean sameAcceptors(List<Member> members) {
        if (changing || members.size() != all.size()) {
            return false;
        }
        for (Member member : members) {
            if (!contains(member.storage())) {
                return false;
            }
        }
        return true;
    }

    private static boolean hasMajority(List<Member> members, Set<String> storages) {
        int count = 0;
        for (Member member : members) {
            if (storages.contains(member.storage())) {
                count++;
            }
        }
        return 2 * count > members.size();
    }

    private static Member find(List<Member> members, String storage) {
        for (Member member : members) {
            if (member.storage().equals(storage)) {
                return member;
            }
        }
        return null;
    }
}
