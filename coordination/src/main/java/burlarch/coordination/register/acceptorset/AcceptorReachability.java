package burlarch.coordination.register.acceptorset;

import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate;
import burlarch.coordination.register.acceptorset.AcceptorSetPlanner.Candidate.Availability;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The reachability of a set's acceptors from one controller at one moment.
 *
 * @param size number of acceptors in the set
 * @param unreachable the acceptors that cannot be reached, with the reasons
 * @param quorumReachable whether the other acceptors are a quorum of the set
 */
public record AcceptorReachability(int size, List<UnreachableAcceptor> unreachable, boolean quorumReachable) {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Why an acceptor cannot be reached. */
    public enum Reason {
        /** This controller has never heard of a process at its address. */
        NEVER_REACHED,
        /** There is no connection to its process now. */
        OUT_OF_REACH,
        /** The process at its address runs on another disk. */
        DISK_REPLACED,
        /** Its process can be reached, but its disk cannot be written. */
        DISK_UNUSABLE
    }

    /**
     * An acceptor that cannot be reached.
     *
     * @param unreachableNanos how long it has been unreachable; 0 when that is not known
     */
    public record UnreachableAcceptor(AcceptorMember member, Reason reason, long unreachableNanos) {
        @Override
        public String toString() {
            String text = AcceptorSetChange.describe(member);
            return switch (reason) {
                case NEVER_REACHED -> text + " was not reached yet";
                case OUT_OF_REACH -> text + " is out of reach for " + unreachableNanos / NANOS_PER_SECOND + " s";
                case DISK_REPLACED -> text + " came back without that disk";
                case DISK_UNUSABLE -> text + " cannot write its disk for " + unreachableNanos / NANOS_PER_SECOND + " s";
            };
        }
    }

    /**
     * Computes the reachability of a set.
     *
     * @param candidates the acceptors of all controllers that this one knows, its own included
     */
    public static AcceptorReachability of(AcceptorSet set, List<Candidate> candidates, long nowNanos) {
        Set<String> reachableIds = new HashSet<>();
        List<UnreachableAcceptor> unreachable = new ArrayList<>();
        List<AcceptorMember> members = set.votingMembers();
        for (AcceptorMember member : members) {
            Candidate candidate = findAt(member.address(), candidates);
            boolean processReachable = candidate != null && candidate.reachable();
            if (processReachable && candidate.member().storageId().equals(member.storageId())) {
                reachableIds.add(member.storageId());
            } else if (processReachable) {
                unreachable.add(new UnreachableAcceptor(member, Reason.DISK_REPLACED, 0));
            } else {
                unreachable.add(toUnreachable(member, candidate, nowNanos));
            }
        }
        return new AcceptorReachability(members.size(), unreachable, set.hasQuorum(reachableIds));
    }

    private static UnreachableAcceptor toUnreachable(AcceptorMember member, Candidate candidate, long nowNanos) {
        if (candidate == null) {
            return new UnreachableAcceptor(member, Reason.NEVER_REACHED, 0);
        }
        Reason reason =
                candidate.availability() == Availability.ABSTAINING ? Reason.DISK_UNUSABLE : Reason.OUT_OF_REACH;
        return new UnreachableAcceptor(member, reason, nowNanos - candidate.sinceNanos());
    }

    private static Candidate findAt(String address, List<Candidate> candidates) {
        for (Candidate candidate : candidates) {
            if (candidate.member().address().equals(address)) {
                return candidate;
            }
        }
        return null;
    }
}
