package burlarch.coordination.register.acceptorset;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides the next change of the acceptor set. Sizes are odd: an even set bears no more losses than the odd
 * one below it, so a lost acceptor and its successor are exchanged at once, and two join or leave together.
 *
 * <p>Not safe for use by several threads.
 */
public final class AcceptorSetPlanner {
    /** Most acceptors. More would cost messages and bear no loss that is asked for. */
    public static final int MAX_MEMBERS = 9;
    /** A spare that could not be brought in is passed over for so long. */
    static final long FAILED_SPARE_EXCLUSION_NANOS = 1_000_000_000L;

    /**
     * A controller as its peers see it.
     *
     * @param member its acceptor
     * @param reachable whether it can be reached now
     * @param sinceNanos since when that holds
     */
    public record Candidate(AcceptorMember member, boolean reachable, long sinceNanos) {}

    private final long removeAfterNanos;
    private final int leastMembers;
    /** When spares could not be brought in, by storage identity; no more entries than candidates. */
    private final Map<String, Long> failedAt = new HashMap<>();

    /**
     * @param removeAfterNanos how long a member is out of reach before a spare takes its place
     * @param leastMembers size below which no set is made smaller
     */
    public AcceptorSetPlanner(long removeAfterNanos, int leastMembers) {
        this.removeAfterNanos = removeAfterNanos;
        this.leastMembers = leastMembers;
    }

    /** The set to change to, or nothing where the present one is right. */
    public Optional<List<AcceptorMember>> nextMembers(
            List<AcceptorMember> members, List<Candidate> candidates, long nowNanos) {
        forget(candidates, nowNanos);
        List<AcceptorMember> spares = spares(members, candidates);
        List<AcceptorMember> lost = lostMembers(members, candidates, nowNanos);
        boolean odd = members.size() % 2 == 1;
        if (lost.isEmpty()) {
            return grown(members, spares, odd ? 2 : 1);
        }
        if (!odd) {
            return Optional.of(without(members, lost.subList(0, 1)));
        }
        if (!spares.isEmpty()) {
            return Optional.of(exchanged(members, lost.get(0), spares));
        }
        boolean shrinks = lost.size() >= 2 && members.size() - 2 >= leastMembers;
        return shrinks ? Optional.of(without(members, lost.subList(0, 2))) : Optional.empty();
    }

    /** A change to this set was not done: whoever was to join may be the reason. */
    public void onChangeFailed(List<AcceptorMember> members, List<AcceptorMember> next, long nowNanos) {
        for (AcceptorMember joining : AcceptorSet.of(members).joining(next)) {
            failedAt.put(joining.storageId(), nowNanos);
        }
    }

    private void forget(List<Candidate> candidates, long nowNanos) {
        failedAt.entrySet()
                .removeIf(entry -> nowNanos - entry.getValue() >= FAILED_SPARE_EXCLUSION_NANOS
                        || candidates.stream()
                                .noneMatch(one -> one.member().storageId().equals(entry.getKey())));
    }

    private static Optional<List<AcceptorMember>> grown(
            List<AcceptorMember> members, List<AcceptorMember> spares, int count) {
        if (spares.size() < count || members.size() + count > MAX_MEMBERS) {
            return Optional.empty();
        }
        List<AcceptorMember> next = new ArrayList<>(members);
        next.addAll(spares.subList(0, count));
        return Optional.of(next);
    }

    /** Best by one at the same address: a disk that came back empty. */
    private static List<AcceptorMember> exchanged(
            List<AcceptorMember> members, AcceptorMember lost, List<AcceptorMember> spares) {
        AcceptorMember successor = spares.stream()
                .filter(spare -> spare.address().equals(lost.address()))
                .findFirst()
                .orElse(spares.get(0));
        List<AcceptorMember> next = without(members, List.of(lost));
        next.add(successor);
        return next;
    }

    private static boolean isMember(List<AcceptorMember> members, Candidate candidate) {
        return members.stream()
                .anyMatch(member -> member.storageId().equals(candidate.member().storageId()));
    }

    private List<AcceptorMember> spares(List<AcceptorMember> members, List<Candidate> candidates) {
        return candidates.stream()
                .filter(Candidate::reachable)
                .filter(candidate -> !isMember(members, candidate))
                .map(Candidate::member)
                .filter(member -> !failedAt.containsKey(member.storageId()))
                .sorted(Comparator.comparing(AcceptorMember::address))
                .toList();
    }

    /** Those whose disk is gone first, then those that are long out of reach. */
    private List<AcceptorMember> lostMembers(List<AcceptorMember> members, List<Candidate> candidates, long nowNanos) {
        List<AcceptorMember> lost = new ArrayList<>();
        List<AcceptorMember> away = new ArrayList<>();
        for (AcceptorMember member : members) {
            for (Candidate candidate : candidates) {
                if (!candidate.member().address().equals(member.address())) {
                    continue;
                }
                if (candidate.reachable() && !candidate.member().storageId().equals(member.storageId())) {
                    lost.add(member);
                } else if (!candidate.reachable() && nowNanos - candidate.sinceNanos() >= removeAfterNanos) {
                    away.add(member);
                }
            }
        }
        lost.addAll(away);
        return lost;
    }

    private static List<AcceptorMember> without(List<AcceptorMember> members, List<AcceptorMember> removed) {
        List<AcceptorMember> next = new ArrayList<>(members);
        next.removeAll(removed);
        return next;
    }
}
