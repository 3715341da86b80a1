package burlarch.coordination.register.acceptorset;

import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Which acceptors of a set can be reached from one controller.
 *
 * @param unreachable those that can't, and why
 * @param quorumReachable whether the others are a quorum
 */
public record AcceptorReachability(int size, List<UnreachableAcceptor> unreachable, boolean quorumReachable) {
    private static final long NANOS_A_SECOND = 1_000_000_000L;

    /** Why an acceptor can't be reached. */
    public enum Reason {
        NEVER_REACHED,
        OUT_OF_REACH,
        DISK_REPLACED
    }

    /** An acceptor that can't be reached; {@code unreachableNanos} how long by now, 0 where that isn't known. */
    public record UnreachableAcceptor(AcceptorMember member, Reason reason, long unreachableNanos) {
        @Override
        public String toString() {
            String text = AcceptorSetChange.text(member);
            return switch (reason) {
                case NEVER_REACHED -> text + " was not reached yet";
                case OUT_OF_REACH -> text + " is out of reach for " + unreachableNanos / NANOS_A_SECOND + " s";
                case DISK_REPLACED -> text + " came back without that disk";
            };
        }
    }

    /** Judges by the controllers that are known, the own one among them. */
    public static AcceptorReachability of(AcceptorSet set, List<Candidate> candidates, long nowNanos) {
        Set<String> reached = new HashSet<>();
        List<UnreachableAcceptor> missing = new ArrayList<>();
        for (AcceptorMember member : set.votingMembers()) {
            Candidate candidate = at(member.address(), candidates);
            boolean up = candidate != null && candidate.reachable();
            if (up && candidate.member().storageId().equals(member.storageId())) {
                reached.add(member.storageId());
            } else if (up) {
                missing.add(new UnreachableAcceptor(member, Reason.DISK_REPLACED, 0));
            } else {
                missing.add(away(member, candidate, nowNanos));
            }
        }
        return new AcceptorReachability(set.votingMembers().size(), missing, set.hasQuorum(reached));
    }

    private static UnreachableAcceptor away(AcceptorMember member, Candidate candidate, long nowNanos) {
        return candidate == null
                ? new UnreachableAcceptor(member, Reason.NEVER_REACHED, 0)
                : new UnreachableAcceptor(member, Reason.OUT_OF_REACH, nowNanos - candidate.sinceNanos());
    }

    private static Candidate at(String address, List<Candidate> candidates) {
        for (Candidate candidate : candidates) {
            if (candidate.member().address().equals(address)) {
                return candidate;
            }
        }
        return null;
    }
}
