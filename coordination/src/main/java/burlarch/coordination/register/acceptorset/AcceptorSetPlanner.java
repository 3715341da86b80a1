package burlarch.coordination.register.acceptorset;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans the next change of the acceptor set from what one controller knows of the others.
 *
 * <p>Invariant OddSize: from an odd set the planner changes only to odd sets, and from an even set back to an odd one
 * as soon as an acceptor can be added or has to be removed. An even set tolerates no more losses than the odd set one
 * smaller, so a lost acceptor is replaced by its successor in one change, and acceptors join or leave in pairs.
 *
 * <p>The first rule that applies decides:
 *
 * <ol>
 *   <li>No acceptor is lost: add two spares to an odd set, one to an even set, up to {@link #MAX_MEMBERS}.
 *   <li>The set is even: remove one lost acceptor.
 *   <li>There is a spare: replace one lost acceptor with it.
 *   <li>Two acceptors are lost and the set stays large enough: remove both.
 * </ol>
 *
 * <p>Not thread-safe.
 */
public final class AcceptorSetPlanner {
    /**
     * Largest set that the planner asks for. A larger one would cost messages without tolerating any further loss
     * that is required.
     */
    public static final int MAX_MEMBERS = 9;

    /** How long a spare stays excluded after a change that would have added it failed. */
    static final long FAILED_SPARE_EXCLUSION_NANOS = 1_000_000_000L;

    /**
     * A controller's acceptor, as another controller sees it.
     *
     * @param availability whether it can vote now
     * @param sinceNanos since when this availability has held, on the caller's clock
     */
    public record Candidate(AcceptorMember member, Availability availability, long sinceNanos) {
        /** Whether an acceptor can vote. */
        public enum Availability {
            /** Its process can be reached. */
            REACHABLE,
            /** Its process cannot be reached. */
            UNREACHABLE,
            /** Its process can be reached but reports that its disk cannot be written, so it does not vote. */
            ABSTAINING
        }

        /** Returns a candidate that has been reachable since that time. */
        public static Candidate ofReachable(AcceptorMember member, long sinceNanos) {
            return new Candidate(member, Availability.REACHABLE, sinceNanos);
        }

        /** Returns a candidate that has been unreachable since that time. */
        public static Candidate ofUnreachable(AcceptorMember member, long sinceNanos) {
            return new Candidate(member, Availability.UNREACHABLE, sinceNanos);
        }

        /** Returns a candidate that has abstained since that time. */
        public static Candidate ofAbstaining(AcceptorMember member, long sinceNanos) {
            return new Candidate(member, Availability.ABSTAINING, sinceNanos);
        }

        /** Returns whether it can vote. */
        public boolean reachable() {
            return availability == Availability.REACHABLE;
        }
    }

    private final long removeAfterNanos;
    private final int minMembers;

    /**
     * When the last change that would have added a spare failed, by storage identity; holds only current candidates.
     */
    private final Map<String, Long> failedAtNanos = new HashMap<>();

    /**
     * Creates a planner that remembers no failed changes.
     *
     * @param removeAfterNanos how long an acceptor must be unreachable, or abstain, before it counts as lost
     * @param minMembers the smallest set that the planner shrinks to
     */
    public AcceptorSetPlanner(long removeAfterNanos, int minMembers) {
        this.removeAfterNanos = removeAfterNanos;
        this.minMembers = minMembers;
    }

    /** Returns the members to change to; empty if no change is needed or possible. */
    public Optional<List<AcceptorMember>> nextMembers(
            List<AcceptorMember> members, List<Candidate> candidates, long nowNanos) {
        forgetExpiredFailures(candidates, nowNanos);
        List<AcceptorMember> spares = spares(members, candidates);
        List<AcceptorMember> lost = lostMembers(members, candidates, nowNanos);
        boolean odd = members.size() % 2 == 1;
        if (lost.isEmpty()) {
            return withSpares(members, spares, odd ? 2 : 1);
        }
        if (!odd) {
            return Optional.of(without(members, lost.subList(0, 1)));
        }
        if (!spares.isEmpty()) {
            return Optional.of(withSuccessor(members, lost.get(0), spares));
        }
        boolean mayShrink = lost.size() >= 2 && members.size() - 2 >= minMembers;
        return mayShrink ? Optional.of(without(members, lost.subList(0, 2))) : Optional.empty();
    }

    /**
     * Records that a change to these members failed. A joining acceptor may be the cause, so all acceptors that would
     * have joined are excluded as spares for {@link #FAILED_SPARE_EXCLUSION_NANOS}.
     */
    public void onChangeFailed(List<AcceptorMember> members, List<AcceptorMember> next, long nowNanos) {
        for (AcceptorMember joining : AcceptorSet.of(members).joining(next)) {
            failedAtNanos.put(joining.storageId(), nowNanos);
        }
    }

    private void forgetExpiredFailures(List<Candidate> candidates, long nowNanos) {
        failedAtNanos
                .entrySet()
                .removeIf(entry -> nowNanos - entry.getValue() >= FAILED_SPARE_EXCLUSION_NANOS
                        || candidates.stream()
                                .noneMatch(candidate ->
                                        candidate.member().storageId().equals(entry.getKey())));
    }

    private static Optional<List<AcceptorMember>> withSpares(
            List<AcceptorMember> members, List<AcceptorMember> spares, int count) {
        if (spares.size() < count || members.size() + count > MAX_MEMBERS) {
            return Optional.empty();
        }
        List<AcceptorMember> next = new ArrayList<>(members);
        next.addAll(spares.subList(0, count));
        return Optional.of(next);
    }

    /** Replaces a lost acceptor. Prefers the spare at the same address: it is the same machine with an empty disk. */
    private static List<AcceptorMember> withSuccessor(
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

    /**
     * Returns the acceptors whose disk was replaced, then those that have been unable to vote for
     * {@code removeAfterNanos}.
     */
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
