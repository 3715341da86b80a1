package burlarch.coordination.register.acceptorset;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides the next change of the acceptor set from what one controller knows of the others.
 *
 * <p>Invariant OddSize: from an odd set the planner leads to odd sets only, and from an even one back to an odd
 * one as soon as an acceptor can be added or has to be removed. An even set tolerates no more losses than the
 * odd one below it, so a lost acceptor and its successor are exchanged in one change, and two acceptors join or
 * leave together.
 *
 * <p>The first rule that applies decides:
 *
 * <ol>
 *   <li>No acceptor is lost: add two spares to an odd set, one to an even set, up to {@link #MAX_MEMBERS}.
 *   <li>The set is even: remove one lost acceptor.
 *   <li>There is a spare: exchange one lost acceptor for it.
 *   <li>Two acceptors are lost and the set stays large enough: remove both.
 * </ol>
 *
 * <p>Not safe for use by several threads.
 */
public final class AcceptorSetPlanner {
    /** The most acceptors that the planner asks for. More would cost messages and tolerate no required loss. */
    public static final int MAX_MEMBERS = 9;

    /** For how long a spare is excluded after a change that was to add it has failed. */
    static final long FAILED_SPARE_EXCLUSION_NANOS = 1_000_000_000L;

    /**
     * A controller's acceptor, as another controller sees it.
     *
     * @param availability whether it can take part now
     * @param sinceNanos the time since which that is so, on the clock of the caller
     */
    public record Candidate(AcceptorMember member, Availability availability, long sinceNanos) {
        /** Whether an acceptor can take part. */
        public enum Availability {
            /** Its process can be reached. */
            REACHABLE,
            /** Its process can't be reached. */
            UNREACHABLE,
            /** Its process can be reached and says that its disk can't be written, so that it does not vote. */
            ABSTAINING
        }

        /** A candidate that can be reached since that time. */
        public static Candidate ofReachable(AcceptorMember member, long sinceNanos) {
            return new Candidate(member, Availability.REACHABLE, sinceNanos);
        }

        /** A candidate that cannot be reached since that time. */
        public static Candidate ofUnreachable(AcceptorMember member, long sinceNanos) {
            return new Candidate(member, Availability.UNREACHABLE, sinceNanos);
        }

        /** A candidate that abstains since that time. */
        public static Candidate ofAbstaining(AcceptorMember member, long sinceNanos) {
            return new Candidate(member, Availability.ABSTAINING, sinceNanos);
        }

        /** Whether it can take part. */
        public boolean reachable() {
            return availability == Availability.REACHABLE;
        }
    }

    private final long removeAfterNanos;
    private final int minMembers;

    /**
     * When changes that were to add a spare have failed, by storage identity; holds only present candidates.
     */
    private final Map<String, Long> failedAtNanos = new HashMap<>();

    /**
     * Creates a planner without memory of failed changes.
     *
     * @param removeAfterNanos for how long an acceptor must be unreachable, or abstain, before it counts as lost
     * @param minMembers no set is made smaller than this
     */
    public AcceptorSetPlanner(long removeAfterNanos, int minMembers) {
        this.removeAfterNanos = removeAfterNanos;
        this.minMembers = minMembers;
    }

    /** The members to change to; empty if no change is needed or possible. */
    public Optional<List<AcceptorMember>> nextMembers(
            List<AcceptorMember> members, List<Candidate> candidates, long nowNanos) {
        forgetOldFailures(candidates, nowNanos);
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
        boolean mayShrink = lost.size() >= 2 && members.size() - 2 >= minMembers;
        return mayShrink ? Optional.of(without(members, lost.subList(0, 2))) : Optional.empty();
    }

    /**
     * Reports that a change to these members failed. An acceptor that was to join may be the reason, so all
     * that were to join are excluded as spares for a while.
     */
    public void onChangeFailed(List<AcceptorMember> members, List<AcceptorMember> next, long nowNanos) {
        for (AcceptorMember joining : AcceptorSet.of(members).joining(next)) {
            failedAtNanos.put(joining.storageId(), nowNanos);
        }
    }

    private void forgetOldFailures(List<Candidate> candidates, long nowNanos) {
        failedAtNanos
                .entrySet()
                .removeIf(entry -> nowNanos - entry.getValue() >= FAILED_SPARE_EXCLUSION_NANOS
                        || candidates.stream()
                                .noneMatch(candidate ->
                                        candidate.member().storageId().equals(entry.getKey())));
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

    /** Prefers the spare at the same address: it is the same machine with an empty disk. */
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
                .filter(member -> !failedAtNanos.containsKey(member.storageId()))
                .sorted(Comparator.comparing(AcceptorMember::address))
                .toList();
    }

    /** The acceptors whose disk was replaced, then those that could not take part for long enough. */
    private List<AcceptorMember> lostMembers(List<AcceptorMember> members, List<Candidate> candidates, long nowNanos) {
        List<AcceptorMember> lost = new ArrayList<>();
        List<AcceptorMember> unreachable = new ArrayList<>();
        for (AcceptorMember member : members) {
            for (Candidate candidate : candidates) {
                if (!candidate.member().address().equals(member.address())) {
                    continue;
                }
                if (hasReplacedDisk(candidate, member)) {
                    lost.add(member);
                } else if (!candidate.reachable() && nowNanos - candidate.sinceNanos() >= removeAfterNanos) {
                    unreachable.add(member);
                }
            }
        }
        lost.addAll(unreachable);
        return lost;
    }

    private static boolean hasReplacedDisk(Candidate candidate, AcceptorMember member) {
        return candidate.reachable() && !candidate.member().storageId().equals(member.storageId());
    }

    private static List<AcceptorMember> without(List<AcceptorMember> members, List<AcceptorMember> removed) {
        List<AcceptorMember> next = new ArrayList<>(members);
        next.removeAll(removed);
        return next;
    }
}
