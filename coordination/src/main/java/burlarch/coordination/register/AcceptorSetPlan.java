package burlarch.coordination.register;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides the next change of the acceptor set: one replaced, added or removed at a time. Sizes are odd but
 * while a member is being exchanged, as an even set bears no more losses than the odd one below it.
 */
public final class AcceptorSetPlan {
    /** Most acceptors. More would cost messages and bear no loss that is asked for. */
    public static final int MOST_MEMBERS = 9;

    /**
     * A controller as its peers see it.
     *
     * @param member its acceptor
     * @param up whether it can be reached now
     * @param sinceNanos since when that holds
     */
    public record Candidate(Member member, boolean up, long sinceNanos) {
    }

    private final long removeAfterNanos;

    /** @param removeAfterNanos how long a member is out of reach before a spare takes its place */
    public AcceptorSetPlan(long removeAfterNanos) {
        this.removeAfterNanos = removeAfterNanos;
    }

    /** The set to change to, or nothing where the present one is right. */
    public Optional<List<Member>> next(List<Member> members, List<Candidate> candidates, long nowNanos) {
        Optional<List<Member>> replaced = replaceWiped(members, candidates);
        if (replaced.isPresent()) {
            return replaced;
        }
        List<Member> spares = spares(members, candidates);
        Optional<Member> lost = lostMember(members, candidates, nowNanos);
        boolean odd = members.size() % 2 == 1;
        if (odd) {
            boolean grows = spares.size() >= 2 && members.size() + 2 <= MOST_MEMBERS && lost.isEmpty();
            boolean exchanges = !spares.isEmpty() && lost.isPresent();
            return grows || exchanges ? Optional.of(with(members, spares.get(0))) : Optional.empty();
        }
        if (lost.isPresent()) {
            return Optional.of(without(members, lost.get()));
        }
        return spares.isEmpty() ? Optional.empty() : Optional.of(with(members, spares.get(0)));
    }

    /** A disk that came back empty: its former identity at that address is gone for good. */
    private static Optional<List<Member>> replaceWiped(List<Member> members, List<Candidate> candidates) {
        for (Candidate candidate : candidates) {
            for (Member member : members) {
                if (candidate.up() && sameAddress(member, candidate) && !isMember(members, candidate)) {
                    List<Member> next = without(members, member);
                    next.add(candidate.member());
                    return Optional.of(next);
                }
            }
        }
        return Optional.empty();
    }

    private static boolean sameAddress(Member member, Candidate candidate) {
        return member.address().equals(candidate.member().address());
    }

    private static boolean isMember(List<Member> members, Candidate candidate) {
        return members.stream().anyMatch(member -> member.storage().equals(candidate.member().storage()));
    }

    private static List<Member> spares(List<Member> members, List<Candidate> candidates) {
        return candidates.stream().filter(Candidate::up).filter(candidate -> !isMember(members, candidate))
                .map(Candidate::member).sorted(Comparator.comparing(Member::address)).toList();
    }

    private Optional<Member> lostMember(List<Member> members, List<Candidate> candidates, long nowNanos) {
        for (Member member : members) {
            for (Candidate candidate : candidates) {
                if (sameAddress(member, candidate) && !candidate.up()
                        && nowNanos - candidate.sinceNanos() >= removeAfterNanos) {
                    return Optional.of(member);
                }
            }
        }
        return Optional.empty();
    }

    private static List<Member> with(List<Member> members, Member added) {
        List<Member> next = new ArrayList<>(members);
        next.add(added);
        return next;
    }

    private static List<Member> without(List<Member> members, Member removed) {
        List<Member> next = new ArrayList<>(members);
        next.remove(removed);
        return next;
    }
}
